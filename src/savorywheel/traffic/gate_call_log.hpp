#ifndef SAVORYWHEEL_TRAFFIC_GATE_CALL_LOG_HPP
#define SAVORYWHEEL_TRAFFIC_GATE_CALL_LOG_HPP

#include <savorywheel/core/clock.hpp>
#include <savorywheel/log/event_log.hpp>
#include <savorywheel/traffic/backend_server.hpp>
#include <savorywheel/traffic/call_log.hpp>
#include <savorywheel/traffic/call_response.hpp>
#include <savorywheel/traffic/gate_call.hpp>

namespace savorywheel {

/** @brief Writes what became of calls at a gate, and what decided it; any thread may use it. */
class gate_call_log {
public:
    /**
     * @param log Log; must outlive the journal.
     * @param time Clock; must outlive the journal.
     */
    gate_call_log(event_log& log, const clock& time) noexcept : time_{time}, call_log_{log, time} {}

    /** @brief Writes that a call was refused. */
    void log_refused(const gate_call& item, const call_response& response);

    /** @brief Writes how a call that ran has ended. */
    void log_finished(const gate_call& item, const backend_server& backend,
                      const call_response& response);

private:
    const clock& time_;
    call_log call_log_;
};

} // namespace savorywheel

#endif
