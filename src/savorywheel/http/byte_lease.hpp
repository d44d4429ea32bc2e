#ifndef SAVORYWHEEL_HTTP_BYTE_LEASE_HPP
#define SAVORYWHEEL_HTTP_BYTE_LEASE_HPP

#include <savorywheel/http/byte_budget.hpp>

#include <cstddef>
#include <utility>

namespace savorywheel {

/** @brief Bytes taken from a budget, which are returned on destruction. */
class byte_lease {
public:
    byte_lease() = default;

    /** @param budget Budget to take from; must outlive the lease. */
    explicit byte_lease(byte_budget& budget) noexcept : budget_{&budget} {}

    byte_lease(const byte_lease&) = delete;
    byte_lease& operator=(const byte_lease&) = delete;

    byte_lease(byte_lease&& other) noexcept
        : budget_{std::exchange(other.budget_, nullptr)}, bytes_{std::exchange(other.bytes_, 0)}
    {
    }

    byte_lease& operator=(byte_lease&& other) noexcept
    {
        std::swap(budget_, other.budget_);
        std::swap(bytes_, other.bytes_);
        return *this;
    }

    ~byte_lease()
    {
        if (budget_ != nullptr) {
            budget_->give_back(bytes_);
        }
    }

    /** @return False, without a change, if the budget has too few bytes to hold this many. */
    [[nodiscard]] bool try_extend_to(std::size_t bytes) noexcept
    {
        if (bytes <= bytes_) {
            return true;
        }
        if (budget_ == nullptr || !budget_->try_take(bytes - bytes_)) {
            return false;
        }
        bytes_ = bytes;
        return true;
    }

private:
    byte_budget* budget_{};
    std::size_t bytes_{};
};

} // namespace savorywheel

#endif
