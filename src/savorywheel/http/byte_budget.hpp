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
        if (taken_.fetch_add(bytes) + bytes <= limit_) {
            return true;
        }
        give_back(bytes);
        return false;
    }

    /** @brief Returns bytes that were taken. */
    void give_back(std::size_t bytes) noexcept { taken_ -= bytes; }

private:
    std::size_t limit_;
    std::atomic<std::size_t> taken_{};
};

} // namespace savorywheel

#endif
