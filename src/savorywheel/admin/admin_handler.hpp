#ifndef SAVORYWHEEL_ADMIN_ADMIN_HANDLER_HPP
#define SAVORYWHEEL_ADMIN_ADMIN_HANDLER_HPP

#include <savorywheel/admin/change_handler.hpp>
#include <savorywheel/admin/query_handler.hpp>
#include <savorywheel/http/http_handler.hpp>
#include <savorywheel/metrics/metric_registry.hpp>

#include <cstddef>
#include <string_view>

namespace savorywheel {

/** @brief Largest body of an administration request, in bytes; a text may be half as large. */
inline constexpr std::size_t max_admin_body_bytes = 2'000'000;

/** @brief Administration API of a node; docs/ADMIN-API.md describes it. */
class admin_handler final : public http_handler {
public:
    /** @brief What the handler works with; all must outlive it. */
    struct environment {
        /** @brief State of the node. */
        node_control& control;
        /** @brief Makes changes. */
        change_service& changes;
        /** @brief Operators. */
        const operator_directory& operators;
        /** @brief Metrics. */
        metric_registry& metrics;
        /** @brief Log. */
        event_log& log;
    };

    /** @param env What the handler works with. */
    explicit admin_handler(environment env) noexcept
        : environment_{env}, changes_{env.changes, env.operators, env.log}, queries_{env.control,
                                                                                     env.changes}
    {
    }

    [[nodiscard]] http_response handle(const http_request& request) override;

private:
    struct endpoint;

    [[nodiscard]] http_response announce(const http_request& request);

    environment environment_;
    change_handler changes_;
    query_handler queries_;
};

} // namespace savorywheel

#endif
