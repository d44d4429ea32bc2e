#ifndef SAVORYWHEEL_TRAFFIC_GATE_JOURNAL_HPP
#define SAVORYWHEEL_TRAFFIC_GATE_JOURNAL_HPP

#include <savorywheel/core/clock.hpp>
#include <savorywheel/log/event_log.hpp>
#include <savorywheel/traffic/backend_server.hpp>
#include <savorywheel/traffic/call_journal.hpp>
#include <savorywheel/traffic/call_response.hpp>
#include <savorywheel/traffic/gate_call.hpp>

namespace savorywheel {

/** @brief Logs the outcome of calls at a gate and the inputs of the decision; thread-safe. */
class gate_journal {
public:
    /**
     * @param log Event log; must outlive this object.
     * @param time Clock; must outlive this object.
     */
    gate_journal(event_log& log, const clock& time) noexcept : time_{time}, calls_{log, time} {}

    /** @brief Logs a refused call. */
    void refused(const gate_call& item, const call_response& response);

    /** @brief Logs the outcome of a call that was run. */
    void ran(const gate_call& item, const backend_server& backend, const call_response& response);

private:
    const clock& time_;
    call_journal calls_;
};

} // namespace savorywheel

#endif
