#ifndef SAVORYWHEEL_DISTRIBUTION_STORE_CHECK_RESULT_HPP
#define SAVORYWHEEL_DISTRIBUTION_STORE_CHECK_RESULT_HPP

#include <savorywheel/core/clock.hpp>

#include <cstdint>

namespace savorywheel {

/** @brief Result of a successful check of the store; its objects were delivered before. */
struct store_check_result {
    /** @brief Time before which all changes were delivered. */
    monotonic_time as_of;
    /** @brief The same time on clock::since_boot(). */
    duration as_of_since_boot{};
    /** @brief Revision of the store at the check. */
    std::uint64_t revision{};
};

} // namespace savorywheel

#endif
