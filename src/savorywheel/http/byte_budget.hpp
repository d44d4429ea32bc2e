#ifndef SAVORYWHEEL_HTTP_BYTE_BUDGET_HPP
#define SAVORYWHEEL_HTTP_BYTE_BUDGET_HPP

#include <atomic>
#include <cstddef>

namespace savorywheel {

/** @brief Number of bytes that several users may hold together; thread-safe. */
class byte_budget {
public:
    explicit byte_budget(std::size_t limit) : limit_{limit} {}

    /** @return False, without taking any, if fewer bytes are left. */
    [[nodiscard]] bool try_take(std::size_t bytes) noexcept
    {
        auto taken = taken_.load();
        do {
            if (bytes > limit_ - taken) {
                return false;
            }
        } while (!taken_.compare_exchange_weak(taken, taken + bytes));
        return true;
    }

    /** @brief Returns bytes that were taken. */
    void give_back(std::size_t bytes) noexcept { taken_ -= bytes; }

private:
    std::size_t limit_;
    std::atomic<std::size_t> taken_{};
};

} // namespace savorywheel

#endif
