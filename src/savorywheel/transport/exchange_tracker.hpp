#ifndef SAVORYWHEEL_TRANSPORT_EXCHANGE_TRACKER_HPP
#define SAVORYWHEEL_TRANSPORT_EXCHANGE_TRACKER_HPP

#include <savorywheel/core/clock.hpp>
#include <savorywheel/transport/frame_kind.hpp>

#include <cstdint>
#include <set>

namespace savorywheel {

/** @brief Tracks the pending requests and the last activity of a connection. */
class exchange_tracker {
public:
    /** @brief Records an outgoing frame. */
    void on_sent(frame_kind kind, std::uint64_t correlation, monotonic_time now);

    /** @brief Records an incoming frame. */
    void on_received(frame_kind kind, std::uint64_t correlation, monotonic_time now);

    /** @return True if a request of either end has no response yet. */
    [[nodiscard]] bool has_pending_request() const noexcept
    {
        return !outgoing_requests_.empty() || !incoming_requests_.empty();
    }

    /** @return Time of the last frame other than a heartbeat, in either direction. */
    [[nodiscard]] monotonic_time last_activity() const noexcept { return last_activity_; }

private:
    std::set<std::uint64_t> outgoing_requests_;
    std::set<std::uint64_t> incoming_requests_;
    monotonic_time last_activity_;
};

} // namespace savorywheel

#endif
