#ifndef SAVORYWHEEL_CORE_RANDOM_SOURCE_HPP
#define SAVORYWHEEL_CORE_RANDOM_SOURCE_HPP

#include <cstdint>

namespace savorywheel {

/** @brief Random number generator; tests substitute one with a fixed seed. */
class random_source {
public:
    random_source() = default;
    random_source(const random_source&) = delete;
    random_source& operator=(const random_source&) = delete;
    random_source(random_source&&) = delete;
    random_source& operator=(random_source&&) = delete;
    virtual ~random_source() = default;

    /**
     * @brief Returns a uniformly distributed integer in [0, bound).
     * @param bound Exclusive upper bound; must be positive.
     */
    [[nodiscard]] virtual std::uint64_t below(std::uint64_t bound) = 0;
};

} // namespace savorywheel

#endif
