#ifndef SAVORYWHEEL_ADMIN_ADMIN_HANDLER_HPP
#define SAVORYWHEEL_ADMIN_ADMIN_HANDLER_HPP

#include <savorywheel/admin/change_service.hpp>
#include <savorywheel/admin/node_view.hpp>
#include <savorywheel/admin/operator_directory.hpp>
#include <savorywheel/http/http_handler.hpp>
#include <savorywheel/log/event_log.hpp>
#include <savorywheel/metrics/metric_registry.hpp>

namespace savorywheel {

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
    explicit admin_handler(environment surroundings) noexcept : environment_{surroundings} {}

    [[nodiscard]] http_response handle(const http_request& request) override;

private:
    [[nodiscard]] http_response apply(const http_request& request);
    [[nodiscard]] http_response announce(const http_request& request);
    [[nodiscard]] http_response dump_state();
    [[nodiscard]] http_response report_status();

    environment environment_;
};

} // namespace savorywheel

#endif
