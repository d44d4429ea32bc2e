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

/** @brief Logs routing decisions and outcomes of calls at the caller's node; thread-safe. */
class proxy_journal {
public:
    /**
     * @param log Event log; must outlive this object.
     * @param time Clock; must outlive this object.
     */
    proxy_journal(event_log& log, const clock& time) noexcept : time_{time}, calls_{log, time} {}

    /** @brief Logs a call that a backend server responded to. */
    void answered(const call_plan& item, int status);

    /** @brief Logs a call that is rejected by the mesh. */
    void rejected(const call_plan& item, const rejection& why);

    /** @brief Logs a retry at another backend server. */
    void repeated(const call_plan& item, const call_response& outcome);

private:
    /** @return The routing decisions for a call, with the configuration version. */
    [[nodiscard]] std::vector<log_field> fields_of(const call_plan& item) const;

    const clock& time_;
    call_journal calls_;
};

} // namespace savorywheel

#endif
