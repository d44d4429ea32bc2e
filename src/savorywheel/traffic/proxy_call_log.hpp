#ifndef SAVORYWHEEL_TRAFFIC_PROXY_CALL_LOG_HPP
#define SAVORYWHEEL_TRAFFIC_PROXY_CALL_LOG_HPP

#include <savorywheel/core/clock.hpp>
#include <savorywheel/log/event_log.hpp>
#include <savorywheel/traffic/call_context.hpp>
#include <savorywheel/traffic/call_log.hpp>
#include <savorywheel/traffic/call_response.hpp>
#include <savorywheel/traffic/rejection.hpp>

#include <vector>

namespace savorywheel {

/** @brief Writes what was decided about calls at their caller's node; any thread may use it. */
class proxy_call_log {
public:
    /**
     * @param log Log; must outlive the journal.
     * @param time Clock; must outlive the journal.
     */
    proxy_call_log(event_log& log, const clock& time) noexcept : time_{time}, call_log_{log, time}
    {
    }

    /** @brief Writes that a backend server answered. */
    void log_answered(const call_context& context, int status);

    /** @brief Writes that the mesh itself answers. */
    void log_rejected(const call_context& context, const rejection& cause);

    /** @brief Writes that a call goes to another backend server. */
    void log_retried(const call_context& context, const call_response& outcome);

private:
    /** What decided about a call, with the state that was in force. */
    [[nodiscard]] std::vector<log_field> fields_of(const call_context& context) const;

    const clock& time_;
    call_log call_log_;
};

} // namespace savorywheel

#endif
