#ifndef SAVORYWHEEL_STANDIN_PLATFORM_PLATFORM_HANDLER_HPP
#define SAVORYWHEEL_STANDIN_PLATFORM_PLATFORM_HANDLER_HPP

#include <savorywheel/http/http_handler.hpp>
#include <savorywheel/metrics/metric_registry.hpp>

#include <standin/platform/fault_plan.hpp>
#include <standin/platform/object_table.hpp>

#include <mutex>

namespace savorywheel::standin {

/**
 * @brief HTTP front of the platform stand-in.
 *
 * `PUT /fault?down=0|1&lost_answers=N&delay_ms=N` sets its faults, `GET /metrics` shows its calls.
 */
class platform_handler final : public http_handler {
public:
    /** @param table Objects; must outlive the handler. */
    explicit platform_handler(object_table& table);

    [[nodiscard]] http_response handle(const http_request& request) override;

private:
    [[nodiscard]] http_response set_faults(const http_request& request);
    [[nodiscard]] http_response serve(const http_request& request);
    [[nodiscard]] http_response write(const http_request& request, std::string_view key);
    [[nodiscard]] bool lose_answer();

    object_table& table_;
    metric_registry metrics_;
    std::mutex mutex_;
    fault_plan faults_;
};

} // namespace savorywheel::standin

#endif
