#ifndef SAVORYWHEEL_TRAFFIC_GATE_CALL_LOG_HPP
#define SAVORYWHEEL_TRAFFIC_GATE_CALL_LOG_HPP

#include <savorywheel/core/clock.hpp>
#include <savorywheel/log/event_log.hpp>
#include <savorywheel/traffic/backend_server.hpp>
#include <savorywheel/traffic/call_log.hpp>
#include <savorywheel/traffic/call_response.hpp>
#include <savorywheel/traffic/gate_call.hpp>

#include <atomic>

namespace savorywheel {

/** @brief Logs the outcome of calls at a gate and the inputs of the decision; thread-safe. */
class gate_call_log {
public:
    /**
     * @param log Event log; must outlive this object.
     * @param time Clock; must outlive this object.
     */
    gate_call_log(event_log& log, const clock& time) noexcept : time_{time}, call_log_{log, time} {}

    /** @brief Logs a refused call. */
    void log_refused(const gate_call& item, const call_response& response);

    /** @brief Logs why a queued call is refused. */
    void log_removed(event_id cause, const gate_call& item);

    /** @brief Logs that calls which were given up hold all free slots, at most once per second. */
    void log_held();

    /** @brief Logs the outcome of a call that was run. */
    void log_finished(const gate_call& item, const backend_server& backend,
                      const call_response& response);

private:
    const clock& time_;
    call_log call_log_;
    std::atomic<monotonic_time> held_logged_at_{};
};

} // namespace savorywheel

#endif
