#ifndef SAVORYWHEEL_CORE_SUBSCRIPTION_HPP
#define SAVORYWHEEL_CORE_SUBSCRIPTION_HPP

#include <functional>
#include <utility>

namespace savorywheel {

/** @brief Ends a subscription when destroyed. */
class subscription {
public:
    /** @brief Creates an empty subscription. */
    subscription() = default;

    /** @param cancel Called once, at the end. */
    explicit subscription(std::function<void()> cancel) : cancel_{std::move(cancel)} {}

    subscription(const subscription&) = delete;
    subscription& operator=(const subscription&) = delete;

    /** @brief Takes over another subscription, which becomes empty. */
    subscription(subscription&& other) noexcept : cancel_{std::exchange(other.cancel_, nullptr)} {}

    /** @brief Ends this subscription and takes over another one. */
    subscription& operator=(subscription&& other) noexcept
    {
        if (this != &other) {
            reset();
            cancel_ = std::exchange(other.cancel_, nullptr);
        }
        return *this;
    }

    ~subscription() { reset(); }

    /** @brief Ends the subscription now. */
    void reset() noexcept
    {
        if (auto cancel = std::exchange(cancel_, nullptr)) {
            cancel();
        }
    }

private:
    std::function<void()> cancel_;
};

} // namespace savorywheel

#endif
