#ifndef SAVORYWHEEL_CORE_RANDOM_SOURCE_HPP
#define SAVORYWHEEL_CORE_RANDOM_SOURCE_HPP

#include <cstdint>

namespace savorywheel {

/** @brief Source of random numbers; tests substitute a seeded one. */
class random_source {
public:
    random_source() = default;
    random_source(const random_source&) = delete;
    random_source& operator=(const random_source&) = delete;
    random_source(random_source&&) = delete;
    random_source& operator=(random_source&&) = delete;
    virtual ~random_source() = default;

    /**
     * @brief Draws a number with equal chances.
     * @param bound Exclusive upper bound.
     * @warning The bound must be positive.
     */
    [[nodiscard]] virtual std::uint64_t below(std::uint64_t bound) = 0;
};

} // namespace savorywheel

#endif
