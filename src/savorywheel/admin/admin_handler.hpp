#ifndef SAVORYWHEEL_ADMIN_ADMIN_HANDLER_HPP
#define SAVORYWHEEL_ADMIN_ADMIN_HANDLER_HPP

#include <savorywheel/admin/change_handler.hpp>
#include <savorywheel/admin/view_handler.hpp>
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
        node_view& view;
        /** @brief Makes changes. */
        change_service& changes;
        /** @brief Operators. */
        const operator_directory& operators;
        /** @brief Metrics. */
        metric_registry& metrics;
        /** @brief Log. */
        event_log& log;
    };

    /** @param surroundings What the handler works with. */
    explicit admin_handler(environment surroundings) noexcept
        : environment_{surroundings}, changes_{surroundings.changes, surroundings.operators,
                                               surroundings.log},
          views_{surroundings.view, surroundings.changes}
    {
    }

    [[nodiscard]] http_response handle(const http_request& request) override;

private:
    struct endpoint;

    [[nodiscard]] http_response announce(const http_request& request);

    environment environment_;
    change_handler changes_;
    view_handler views_;
};

} // namespace savorywheel

#endif
