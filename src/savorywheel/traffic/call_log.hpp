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
 * @brief Writes lines about calls and bounds how many; any thread may use it.
 *
 * Answered calls are sampled by their id, so that every node writes the lines of the same calls.
 * Failures are written in full up to a rate; beyond it they are counted, and a line says how many.
 */
class call_log {
public:
    /** @brief Makes the fields of a line; called only if the line is written. */
    using field_factory = std::function<std::vector<log_field>()>;

    /**
     * @param log Log; must outlive the journal.
     * @param time Clock; must outlive the journal.
     */
    call_log(event_log& log, const clock& time) noexcept;

    /** @return True if the lines of an answered call are written. */
    [[nodiscard]] static bool is_sampled(std::string_view request_id) noexcept;

    /** @brief Writes a line about a call that failed, was refused or repeated. */
    void write(event_id id, std::string_view detail, const field_factory& fields);

    /** @brief Writes a line about a call that went well, if it is sampled. */
    void write_sampled(event_id id, std::string_view request_id, std::string_view detail,
                       const field_factory& fields);

private:
    event_log& log_;
    std::mutex mutex_;
    admission_limiter limiter_;
    std::uint64_t dropped_{};
};

/** @return The whole milliseconds of a time, as lines about calls give it. */
[[nodiscard]] std::string format_milliseconds(duration length);

} // namespace savorywheel

#endif
