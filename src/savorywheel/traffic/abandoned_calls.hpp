#ifndef SAVORYWHEEL_TRAFFIC_ABANDONED_CALLS_HPP
#define SAVORYWHEEL_TRAFFIC_ABANDONED_CALLS_HPP

#include <savorywheel/core/clock.hpp>

#include <cstdint>
#include <optional>
#include <vector>

namespace savorywheel {

/**
 * @brief Calls that were cancelled or timed out, and that the backend server may still run.
 *
 * HTTP/1.1 has no way to tell a server that a request was given up; many run it to its end after
 * its connection was closed. Until then it occupies a place there. A backend server with more calls
 * than places resets connections or stops responding to them.
 */
class abandoned_calls {
public:
    /** @brief Adds a call that probably runs until the given time. */
    void add(monotonic_time until) { until_.push_back(until); }

    /** @brief Removes the calls that have probably ended. */
    void remove_ended(monotonic_time now)
    {
        std::erase_if(until_, [now](monotonic_time until) { return until <= now; });
    }

    /** @return Number of calls since the last removal. */
    [[nodiscard]] std::uint32_t count() const noexcept
    {
        return static_cast<std::uint32_t>(until_.size());
    }

    /** @return When the next call has probably ended; std::nullopt if there is none. */
    [[nodiscard]] std::optional<monotonic_time> next_end() const;

private:
    std::vector<monotonic_time> until_;
};

} // namespace savorywheel

#endif
