#ifndef SAVORYWHEEL_QUOTA_TOKEN_BUCKET_HPP
#define SAVORYWHEEL_QUOTA_TOKEN_BUCKET_HPP

#include <savorywheel/core/clock.hpp>

#include <algorithm>

namespace savorywheel {

/** @brief Level that grows with time up to a capacity. */
class token_bucket {
public:
    /**
     * @param level Level at first.
     * @param filled_at Time of that level; before it, the bucket does not fill.
     */
    token_bucket(double level, duration filled_at) noexcept : level_{level}, filled_at_{filled_at}
    {
    }

    /** @brief Adds the tokens of the time since the last call, up to the capacity. */
    void fill(double rate, double capacity, duration now) noexcept
    {
        if (now > filled_at_) {
            level_ += rate * std::chrono::duration<double>(now - filled_at_).count();
            filled_at_ = now;
        }
        level_ = std::min(level_, capacity);
    }

    /** @brief Adds tokens, up to the capacity. */
    void add(double tokens, double capacity) noexcept
    {
        level_ = std::min(level_ + tokens, capacity);
    }

    /** @brief Removes tokens. */
    void take(double tokens) noexcept { level_ -= tokens; }

    [[nodiscard]] double level() const noexcept { return level_; }

private:
    double level_;
    duration filled_at_;
};

} // namespace savorywheel

#endif
