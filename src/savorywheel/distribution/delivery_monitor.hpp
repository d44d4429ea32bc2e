#ifndef SAVORYWHEEL_DISTRIBUTION_DELIVERY_MONITOR_HPP
#define SAVORYWHEEL_DISTRIBUTION_DELIVERY_MONITOR_HPP

#include <savorywheel/core/clock.hpp>

#include <optional>

namespace savorywheel {

/**
 * @brief Time within which a watch delivers a change that this node has got from another source.
 *
 * The longest batch window of 1.2 s, a response of 154 KB on a link of 10 Mbit/s, and a reserve.
 */
inline constexpr std::chrono::milliseconds delivery_limit{2000};

/**
 * @brief Decides whether a watch is on a silent connection.
 *
 * The silence of a watch proves nothing, but one that does not deliver what the store had is dead.
 * Without this, it would wait for up to 26 s and the node would hear by its peers only.
 */
class delivery_monitor {
public:
    /** @brief Records that the watch has delivered changes. */
    void record_delivery(monotonic_time now)
    {
        delivered_at_ = now;
        expected_since_.reset();
    }

    /** @brief Records a change that the watch has not delivered yet. */
    void expect_delivery(monotonic_time now)
    {
        if (!expected_since_) {
            expected_since_ = now;
        }
    }

    /** @return True once for each change that the watch has not delivered within the limit. */
    [[nodiscard]] bool take_overdue(monotonic_time now)
    {
        if (!expected_since_ || now - *expected_since_ < delivery_limit) {
            return false;
        }
        expected_since_.reset();
        return true;
    }

    /** @brief Forgets what was expected of a watch that has ended. */
    void reset() { expected_since_.reset(); }

    /** @return Time of the last delivery. */
    [[nodiscard]] monotonic_time delivered_at() const noexcept { return delivered_at_; }

private:
    monotonic_time delivered_at_;
    std::optional<monotonic_time> expected_since_;
};

} // namespace savorywheel

#endif
