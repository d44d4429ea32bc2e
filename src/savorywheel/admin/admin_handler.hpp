#ifndef SAVORYWHEEL_ADMIN_ADMIN_HANDLER_HPP
#define SAVORYWHEEL_ADMIN_ADMIN_HANDLER_HPP

#include <savorywheel/admin/change_handler.hpp>
#include <savorywheel/admin/query_handler.hpp>
#include <savorywheel/http/http_handler.hpp>
#include <savorywheel/metrics/metric_registry.hpp>

#include <cstddef>
#include <string_view>

namespace savorywheel {

/** @brief Maximum body of an administration request, in bytes: twice max_config_text_bytes. */
inline constexpr std::size_t max_admin_body_bytes = 2'000'000;

/** @brief HTTP handler of the administration API, as described in docs/ADMIN-API.md. */
class admin_handler final : public http_handler {
public:
    /** @brief Dependencies of the handler; all must outlive it. */
    struct environment {
        /** @brief Access to the control thread. */
        node_control& control;
        /** @brief Submits changes of the configuration. */
        change_service& changes;
        /** @brief Authenticates operators. */
        const operator_directory& operators;
        metric_registry& metrics;
        event_log& log;
    };

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
