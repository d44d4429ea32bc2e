#ifndef SAVORYWHEEL_TRAFFIC_REJECTED_KEY_LOG_HPP
#define SAVORYWHEEL_TRAFFIC_REJECTED_KEY_LOG_HPP

#include <savorywheel/core/admission_limiter.hpp>
#include <savorywheel/core/clock.hpp>
#include <savorywheel/log/event_log.hpp>
#include <savorywheel/traffic/call_context.hpp>
#include <savorywheel/traffic/rejection.hpp>

#include <cstdint>

namespace savorywheel {

/**
 * @brief Writes rate-limited log lines about requests without a valid API key.
 *
 * The lines have their own limit, so that a caller that guesses keys does not displace the lines of
 * failed calls. They contain nothing that the caller sent except the path of the matched route.
 * @warning Only for use on the traffic thread.
 */
class rejected_key_log {
public:
    /**
     * @param log Event log; must outlive this object.
     * @param time Clock; must outlive this object.
     */
    rejected_key_log(event_log& log, const clock& time) noexcept;

    /** @brief Logs a request that was rejected for its key, or counts it for the next line. */
    void write(const call_context& context, const rejection& cause);

private:
    event_log& log_;
    admission_limiter limiter_;
    std::uint64_t since_last_line_{};
};

} // namespace savorywheel

#endif
