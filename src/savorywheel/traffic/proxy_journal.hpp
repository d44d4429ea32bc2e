#ifndef SAVORYWHEEL_TRAFFIC_PROXY_JOURNAL_HPP
#define SAVORYWHEEL_TRAFFIC_PROXY_JOURNAL_HPP

#include <savorywheel/core/clock.hpp>
#include <savorywheel/log/event_log.hpp>
#include <savorywheel/traffic/call_journal.hpp>
#include <savorywheel/traffic/call_plan.hpp>
#include <savorywheel/traffic/call_response.hpp>
#include <savorywheel/traffic/rejection.hpp>

#include <vector>

namespace savorywheel {

/** @brief Writes what was decided about calls at their caller's node; any thread may use it. */
class proxy_journal {
public:
    /**
     * @param log Log; must outlive the journal.
     * @param time Clock; must outlive the journal.
     */
    proxy_journal(event_log& log, const clock& time) noexcept : time_{time}, calls_{log, time} {}

    /** @brief Writes that a backend server answered. */
    void answered(const call_plan& item, int status);

    /** @brief Writes that the mesh itself answers. */
    void rejected(const call_plan& item, const rejection& why);

    /** @brief Writes that a call goes to another backend server. */
    void repeated(const call_plan& item, const call_response& outcome);

private:
    /** What decided about a call, with the state that was in force. */
    [[nodiscard]] std::vector<log_field> fields_of(const call_plan& item) const;

    const clock& time_;
    call_journal calls_;
};

} // namespace savorywheel

#endif
