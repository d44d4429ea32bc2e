#ifndef SAVORYWHEEL_QUOTA_SUSPENSION_DETECTOR_HPP
#define SAVORYWHEEL_QUOTA_SUSPENSION_DETECTOR_HPP

#include <savorywheel/core/clock.hpp>

#include <algorithm>
#include <optional>

namespace savorywheel {

/**
 * @brief Detects that the VM was suspended, while the monotonic clock stood still.
 *
 * A lease whose expiry is measured on the monotonic clock may then have expired long ago.
 */
class suspension_detector {
public:
    /** @param time Clock; must outlive the detector. */
    explicit suspension_detector(const clock& time) noexcept
        : clock_{time}, highest_lead_{duration::max()}
    {
        static_cast<void>(suspended());
    }

    /** @return True if the VM was suspended since the last call. */
    [[nodiscard]] bool suspended() noexcept
    {
        // The time since boot was read between the two monotonic times, however long that took.
        const auto before = clock_.now().time_since_epoch();
        const auto boot = clock_.since_boot();
        const auto after = clock_.now();
        if (boot - after.time_since_epoch() > highest_lead_) {
            highest_lead_ = boot - before;
            last_suspension_ = after;
            return true;
        }
        highest_lead_ = std::min(highest_lead_, boot - before);
        return false;
    }

    /** @return True if suspended() found nothing for a time on the monotonic clock. */
    [[nodiscard]] bool quiet_for(duration length) const noexcept
    {
        return !last_suspension_ || clock_.now() - *last_suspension_ >= length;
    }

private:
    const clock& clock_;
    std::optional<monotonic_time> last_suspension_;
    /** Upper bound of what the clock since boot is ahead of the monotonic one. */
    duration highest_lead_;
};

} // namespace savorywheel

#endif
