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

/** @brief Logs routing decisions and outcomes of calls at the caller's node; thread-safe. */
class proxy_call_log {
public:
    /**
     * @param log Event log; must outlive this object.
     * @param time Clock; must outlive this object.
     */
    proxy_call_log(event_log& log, const clock& time) noexcept : time_{time}, call_log_{log, time}
    {
    }

    /** @brief Logs a call that a backend server responded to. */
    void log_answered(const call_context& context, int status);

    /** @brief Logs a call that is rejected by the mesh. */
    void log_rejected(const call_context& context, const rejection& cause);

    /** @brief Logs a retry at another backend server. */
    void log_retried(const call_context& context, const call_response& outcome);

private:
    /** @return The routing decisions for a call, with the configuration version. */
    [[nodiscard]] std::vector<log_field> fields_of(const call_context& context) const;

    const clock& time_;
    call_log call_log_;
};

} // namespace savorywheel

#endif
