#ifndef SAVORYWHEEL_NODE_KEY_CHECK_SCHEDULE_HPP
#define SAVORYWHEEL_NODE_KEY_CHECK_SCHEDULE_HPP

#include <savorywheel/traffic/key_confirmation.hpp>

#include <algorithm>
#include <optional>

namespace savorywheel {

/**
 * @brief Decides when a node reads the store itself so that it can go on accepting API keys.
 *
 * Nodes usually prove recent times to each other with their probes. A node whose proven time is
 * older than half of the limit reads the store, as long as there is time for several attempts.
 * @warning Only for use on the control thread.
 */
class key_check_schedule {
public:
    /**
     * @param keys Proven time and its limit; must outlive the schedule.
     * @param time Clock; must outlive the schedule.
     */
    key_check_schedule(const key_confirmation& keys, const clock& time) noexcept
        : keys_{keys}, time_{time}
    {
    }

    /** @return Time until the next read; duration::max() if none is needed. */
    [[nodiscard]] duration delay() const noexcept
    {
        const auto limit = keys_.limit();
        if (!limit) {
            return duration::max();
        }
        const auto age = keys_.age(time_);
        const auto until_old = age == duration::max() ? duration::zero() : *limit / 2 - age;
        const auto until_next =
            last_ ? *last_ + min_interval - time_.since_boot() : duration::zero();
        return std::max({until_old, until_next, duration::zero()});
    }

    /**
     * @brief Decides whether to ask a peer that has just learned of a read of the store.
     *
     * Probes of random members alone do not keep the times recent: in a model of 83 nodes, half of
     * the limit passed at 19 nodes per second, each of which then read the store.
     */
    [[nodiscard]] bool needs_proof() const noexcept
    {
        const auto limit = keys_.limit();
        return limit && keys_.age(time_) > *limit / ages_in_limit;
    }

    /** @brief Records that this node starts to read the store. */
    void record_check() noexcept { last_ = time_.since_boot(); }

private:
    /** Limits the load of a store that does not respond. */
    static constexpr std::chrono::milliseconds min_interval{500};

    /** Less than the 800 ms between two reads of the store, so that each read renews the time. */
    static constexpr int ages_in_limit = 8;

    const key_confirmation& keys_;
    const clock& time_;
    std::optional<duration> last_;
};

} // namespace savorywheel

#endif
