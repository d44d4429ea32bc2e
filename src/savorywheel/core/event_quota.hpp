#ifndef SAVORYWHEEL_CORE_EVENT_QUOTA_HPP
#define SAVORYWHEEL_CORE_EVENT_QUOTA_HPP

#include <savorywheel/core/control_loop.hpp>

#include <atomic>
#include <cstddef>

namespace savorywheel {

/** @brief Bounds what other nodes can queue at the control thread; any thread may post. */
class event_quota {
public:
    /**
     * @param loop Control thread's events; must outlive the quota.
     * @param max_events Events that may wait at one time.
     * @param max_bytes Bytes of input that may wait at one time.
     */
    event_quota(control_loop& loop, std::size_t max_events, std::size_t max_bytes) noexcept
        : loop_{loop}, max_events_{max_events}, max_bytes_{max_bytes}
    {
    }

    /**
     * @brief Queues an event unless too much waits.
     * @param bytes Size of the input that the event holds.
     * @param task The event.
     * @return False if the event was dropped.
     */
    bool post(std::size_t bytes, control_loop::event task);

    /** @return Events that were dropped. */
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
