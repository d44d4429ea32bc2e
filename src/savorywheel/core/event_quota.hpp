#ifndef SAVORYWHEEL_CORE_EVENT_QUOTA_HPP
#define SAVORYWHEEL_CORE_EVENT_QUOTA_HPP

#include <savorywheel/core/control_loop.hpp>

#include <atomic>
#include <cstddef>

namespace savorywheel {

/** @brief Limits the events that peers can queue for the control thread; thread-safe. */
class event_quota {
public:
    /**
     * @param loop Event loop of the control thread; must outlive the quota.
     * @param max_events Maximum number of queued events.
     * @param max_bytes Maximum input size of all queued events, in bytes.
     */
    event_quota(control_loop& loop, std::size_t max_events, std::size_t max_bytes) noexcept
        : loop_{loop}, max_events_{max_events}, max_bytes_{max_bytes}
    {
    }

    /**
     * @brief Queues an event unless a limit is reached.
     * @param bytes Size of the event's input.
     * @param task Event.
     * @return False if the event was dropped.
     */
    bool post(std::size_t bytes, control_loop::event task);

    /** @return Number of dropped events. */
    [[nodiscard]] std::size_t dropped() const noexcept { return dropped_; }

private:
    control_loop& loop_;
    std::size_t max_events_;
    std::size_t max_bytes_;
    std::atomic<std::size_t> events_{};
    std::atomic<std::size_t> bytes_{};
    std::atomic<std::size_t> dropped_{};
};

} // namespace savorywheel

#endif
