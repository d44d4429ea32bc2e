#ifndef SAVORYWHEEL_TRAFFIC_EXPRESS_SHARE_HPP
#define SAVORYWHEEL_TRAFFIC_EXPRESS_SHARE_HPP

#include <savorywheel/core/clock.hpp>

#include <algorithm>

namespace savorywheel {

/**
 * @brief Limits the work of express calls that overtake others to half of the capacity.
 *
 * Express calls may come from callers without a key; a flood of them must not stop all others.
 */
class express_share {
public:
    /** @return True if express calls must wait for another call to start. */
    [[nodiscard]] bool exhausted() const noexcept { return credit_ <= duration::zero(); }

    /** @brief Records an express call that starts while others wait. */
    void spend(duration work) noexcept { credit_ -= work; }

    /** @brief Records the start of any other call. */
    void earn(duration work) noexcept { credit_ = std::min(credit_ + work, max_credit); }

private:
    /** Inner calls of one burst of outer calls: 30 of 30 ms. */
    static constexpr duration max_credit{std::chrono::seconds{1}};

    duration credit_{max_credit};
};

} // namespace savorywheel

#endif
