#ifndef SAVORYWHEEL_ROLLOUT_SAMPLE_COUNTS_HPP
#define SAVORYWHEEL_ROLLOUT_SAMPLE_COUNTS_HPP

#include <cstdint>

namespace savorywheel {

/** @brief Number of calls, and of those with a property such as a failure. */
struct sample_counts {
    std::uint64_t calls{};
    /** @brief Calls with the property. */
    std::uint64_t hits{};

    sample_counts& operator+=(const sample_counts& other) noexcept
    {
        calls += other.calls;
        hits += other.hits;
        return *this;
    }
};

} // namespace savorywheel

#endif
