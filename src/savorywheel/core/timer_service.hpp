#ifndef SAVORYWHEEL_CORE_TIMER_SERVICE_HPP
#define SAVORYWHEEL_CORE_TIMER_SERVICE_HPP

#include <savorywheel/core/clock.hpp>
#include <savorywheel/core/subscription.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <utility>

namespace savorywheel {

/**
 * @brief Timers of the control thread.
 * @warning Not thread-safe.
 */
class timer_service {
public:
    using action = std::function<void()>;

    /** @param source Clock of the timers; must outlive the service. */
    explicit timer_service(const clock& source) noexcept : clock_{source} {}

    /**
     * @brief Calls an action periodically.
     * @param period Time between calls and before the first call.
     * @param task Action.
     * @return The subscription; the service must outlive it.
     */
    [[nodiscard]] subscription every(duration period, action task);

    /**
     * @brief Calls an action once.
     * @param delay Time before the call.
     * @param task Action.
     * @return The subscription; the service must outlive it.
     */
    [[nodiscard]] subscription after(duration delay, action task);

    /** @return Expiry of the next timer; std::nullopt without timers. */
    [[nodiscard]] std::optional<monotonic_time> next_due() const noexcept;

    /** @brief Calls the actions of all expired timers. */
    void run_due();

private:
    struct entry {
        std::optional<duration> period;
        action task;
    };
    using key = std::pair<monotonic_time, std::uint64_t>;

    subscription add(duration delay, entry item);
    /** Cancels a periodic timer, whose key changes with each call. */
    void cancel(std::uint64_t id);

    const clock& clock_;
    std::uint64_t last_id_{};
    std::map<key, entry> entries_;
};

} // namespace savorywheel

#endif
