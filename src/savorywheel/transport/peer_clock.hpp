#ifndef SAVORYWHEEL_TRANSPORT_PEER_CLOCK_HPP
#define SAVORYWHEEL_TRANSPORT_PEER_CLOCK_HPP

#include <savorywheel/core/clock.hpp>

#include <chrono>
#include <optional>

namespace savorywheel {

/** @brief Time on a peer's monotonic clock. */
using peer_time = std::chrono::microseconds;

/** @return A local time in the unit that heartbeats carry. */
[[nodiscard]] peer_time to_peer_time(monotonic_time local) noexcept;

/**
 * @brief Converts local deadlines to a peer's clock, based on the timestamps in its heartbeats.
 *
 * The estimated clock offset is the true offset minus the delay of a heartbeat. A converted
 * deadline is therefore never later than the true one, whatever the delays of network and
 * processes.
 */
class peer_clock {
public:
    /**
     * @brief Updates the offset from a heartbeat.
     * @param sent Time of sending on the peer's clock.
     * @param received Local time of arrival.
     */
    void observe(peer_time sent, monotonic_time received) noexcept;

    /** @return The deadline on the peer's clock; nothing before the first heartbeat. */
    [[nodiscard]] std::optional<peer_time> convert(monotonic_time deadline) const noexcept;

private:
    std::optional<peer_time> offset_;
    std::optional<peer_time> next_offset_;
    monotonic_time window_start_;
};

} // namespace savorywheel

#endif
