#ifndef SAVORYWHEEL_TRAFFIC_CALL_LOG_HPP
#define SAVORYWHEEL_TRAFFIC_CALL_LOG_HPP

#include <savorywheel/core/admission_limiter.hpp>
#include <savorywheel/core/clock.hpp>
#include <savorywheel/log/event_log.hpp>

#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace savorywheel {

/**
 * @brief Writes rate-limited and sampled log lines about calls; thread-safe.
 *
 * Successful calls are sampled by a hash of the request id, so that all nodes log the same calls.
 * Failures are logged up to a rate limit; lines above it are counted, and the number of dropped
 * lines is logged before the next line.
 */
class call_log {
public:
    /** @brief Creates the fields of a log line; called only if the line is written. */
    using field_factory = std::function<std::vector<log_field>()>;

    /**
     * @param log Event log; must outlive this object.
     * @param time Clock; must outlive this object.
     */
    call_log(event_log& log, const clock& time) noexcept;

    /** @return True if a successful call with this request id is logged. */
    [[nodiscard]] static bool is_sampled(std::string_view request_id) noexcept;

    /** @brief Logs a call that failed, was refused or is retried, subject to the rate limit. */
    void write(event_id id, std::string_view detail, const field_factory& fields);

    /** @brief Logs a successful call, if it is sampled. */
    void write_sampled(event_id id, std::string_view request_id, std::string_view detail,
                       const field_factory& fields);

private:
    event_log& log_;
    std::mutex mutex_;
    admission_limiter limiter_;
    std::uint64_t dropped_{};
};

/** @return The duration in whole milliseconds, as a field of a log line. */
[[nodiscard]] std::string format_milliseconds(duration length);

} // namespace savorywheel

#endif
