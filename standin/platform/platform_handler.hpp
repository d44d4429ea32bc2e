#ifndef SAVORYWHEEL_STANDIN_PLATFORM_PLATFORM_HANDLER_HPP
#define SAVORYWHEEL_STANDIN_PLATFORM_PLATFORM_HANDLER_HPP

#include <savorywheel/http/http_handler.hpp>
#include <savorywheel/metrics/metric_registry.hpp>

#include <standin/platform/call_rate_limiter.hpp>
#include <standin/platform/in_memory_object_store.hpp>
#include <standin/platform/injected_faults.hpp>
#include <standin/platform/platform_limits.hpp>

#include <mutex>

namespace savorywheel::standin {

/**
 * @brief HTTP interface of the platform stand-in.
 *
 * `PUT /fault?down=0|1&lost_answers=N&delay_ms=N&reads_per_second=N&writes_per_second=N` sets its
 * faults and rate limits; `PUT /backup` saves a copy of the objects, and `PUT /restore`
 * returns to it and raises the era; `GET /metrics` returns its call counters. A call above its rate
 * limit is rejected with 429 and has no effect; a watch counts as one read, regardless of its
 * duration.
 */
class platform_handler final : public http_handler {
public:
    /**
     * @param store Stores the objects; must outlive the handler.
     * @param time Clock of the rate limiters; must outlive the handler.
     * @param limits Rate limits.
     */
    platform_handler(in_memory_object_store& store, const clock& time, platform_limits limits = {});

    [[nodiscard]] http_response handle(const http_request& request) override;

private:
    [[nodiscard]] http_response respond(const http_request& request);
    [[nodiscard]] http_response set_faults(const http_request& request);
    [[nodiscard]] http_response serve(const http_request& request);
    [[nodiscard]] http_response write(const http_request& request, std::string_view key);
    [[nodiscard]] bool consume_lost_answer();

    in_memory_object_store& store_;
    metric_registry metrics_;
    call_rate_limiter read_limiter_;
    call_rate_limiter write_limiter_;
    std::mutex mutex_;
    injected_faults faults_;
};

} // namespace savorywheel::standin

#endif
