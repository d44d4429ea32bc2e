#ifndef SAVORYWHEEL_TRANSPORT_PEER_CLOCK_HPP
#define SAVORYWHEEL_TRANSPORT_PEER_CLOCK_HPP

#include <savorywheel/core/clock.hpp>

#include <chrono>
#include <optional>

namespace savorywheel {

/** @brief Time on a peer's monotonic clock. */
using peer_time = std::chrono::microseconds;

/** @return A local time as peers receive it in heartbeats. */
[[nodiscard]] peer_time to_peer_time(monotonic_time local) noexcept;

/**
 * @brief Converts local deadlines to a peer's clock, from the times in the peer's heartbeats.
 *
 * A heartbeat that was delayed makes the peer's clock look slow, so that a converted deadline is
 * never later than the true one, however long messages or processes were held up.
 */
class peer_clock {
public:
    /**
     * @brief Takes a heartbeat.
     * @param sent Peer's clock when it sent the heartbeat.
     * @param received Local clock when it arrived.
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
