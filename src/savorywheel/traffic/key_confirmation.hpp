#ifndef SAVORYWHEEL_TRAFFIC_KEY_CONFIRMATION_HPP
#define SAVORYWHEEL_TRAFFIC_KEY_CONFIRMATION_HPP

#include <savorywheel/core/clock.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <optional>

namespace savorywheel {

/**
 * @brief Decides whether this node's API keys are recent enough to accept one.
 *
 * The proven time of a node is a time on clock::since_boot() by which everything that the store had
 * acknowledged is in force at this node. The control thread advances it, after it has published the
 * routing table that the time refers to; traffic threads read it before they take a routing table.
 * A request that is accepted is therefore routed with all keys that the store had acknowledged one
 * limit before the request arrived, whether the node reaches the store or was suspended meanwhile.
 */
class key_confirmation {
public:
    /** @param limit Maximum age of the proven time; none to accept keys at any age. */
    explicit key_confirmation(std::optional<std::chrono::milliseconds> limit = {}) noexcept
        : limit_{limit}
    {
    }

    /** @return Maximum age of the proven time; none if keys are accepted at any age. */
    [[nodiscard]] std::optional<std::chrono::milliseconds> limit() const noexcept { return limit_; }

    /** @brief Records a proven time; an earlier one has no effect. Only for the control thread. */
    void advance(duration as_of) noexcept { proven_ = std::max(proven_.load(), as_of); }

    /** @return Age of the proven time; duration::max() if there is none. Thread-safe. */
    [[nodiscard]] duration age(const clock& time) const noexcept
    {
        const auto proven = proven_.load();
        return proven == never ? duration::max() : time.since_boot() - proven;
    }

    /**
     * @brief Decides whether requests with an API key may be accepted; thread-safe.
     * @param time Clock, read after the proven time, so that the age is not underestimated.
     */
    [[nodiscard]] bool allows(const clock& time) const noexcept
    {
        return !limit_ || age(time) < *limit_ - safety_margin;
    }

private:
    /** Covers the rounding of ages and differences between the rates of clocks. */
    static constexpr std::chrono::milliseconds safety_margin{250};
    static constexpr duration never = duration::min();

    std::optional<std::chrono::milliseconds> limit_;
    std::atomic<duration> proven_{never};
};

} // namespace savorywheel

#endif
