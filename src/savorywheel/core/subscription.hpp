#ifndef SAVORYWHEEL_CORE_SUBSCRIPTION_HPP
#define SAVORYWHEEL_CORE_SUBSCRIPTION_HPP

#include <functional>
#include <utility>

namespace savorywheel {

/** @brief RAII handle that cancels a subscription on destruction. */
class subscription {
public:
    subscription() = default;

    /** @param cancel Called once, on reset or destruction. */
    explicit subscription(std::function<void()> cancel) : cancel_{std::move(cancel)} {}

    subscription(const subscription&) = delete;
    subscription& operator=(const subscription&) = delete;

    subscription(subscription&& other) noexcept : cancel_{std::exchange(other.cancel_, nullptr)} {}

    /** @brief Cancels the current subscription before the move. */
    subscription& operator=(subscription&& other) noexcept
    {
        if (this != &other) {
            reset();
            cancel_ = std::exchange(other.cancel_, nullptr);
        }
        return *this;
    }

    ~subscription() { reset(); }

    /** @brief Cancels the subscription; the handle is empty afterwards. */
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
