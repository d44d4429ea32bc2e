#ifndef SAVORYWHEEL_TRAFFIC_GATE_JOURNAL_HPP
#define SAVORYWHEEL_TRAFFIC_GATE_JOURNAL_HPP

#include <savorywheel/core/clock.hpp>
#include <savorywheel/log/event_log.hpp>
#include <savorywheel/traffic/backend_server.hpp>
#include <savorywheel/traffic/call_journal.hpp>
#include <savorywheel/traffic/call_response.hpp>
#include <savorywheel/traffic/gate_call.hpp>

namespace savorywheel {

/** @brief Writes what became of calls at a gate, and what decided it; any thread may use it. */
class gate_journal {
public:
    /**
     * @param log Log; must outlive the journal.
     * @param time Clock; must outlive the journal.
     */
    gate_journal(event_log& log, const clock& time) noexcept : time_{time}, calls_{log, time} {}

    /** @brief Writes that a call was refused. */
    void refused(const gate_call& item, const call_response& response);

    /** @brief Writes how a call that ran has ended. */
    void ran(const gate_call& item, const backend_server& backend, const call_response& response);

private:
    const clock& time_;
    call_journal calls_;
};

} // namespace savorywheel

#endif
