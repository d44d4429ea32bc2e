#ifndef SAVORYWHEEL_DISTRIBUTION_STORE_CONFIRMATION_HPP
#define SAVORYWHEEL_DISTRIBUTION_STORE_CONFIRMATION_HPP

#include <savorywheel/core/clock.hpp>
#include <savorywheel/core/configuration_head.hpp>
#include <savorywheel/core/names.hpp>

#include <cstdint>

namespace savorywheel {

/** @brief Evidence that the store had no documents beyond a head at a point in time. */
struct store_confirmation {
    /** @brief Random number that identifies the confirmation. */
    std::uint64_t id{};
    /** @brief Node that read the store. */
    node_id origin;
    /** @brief Local time before which all changes are contained in the head. */
    monotonic_time as_of;
    /** @brief Revision of the store at the read. */
    std::uint64_t revision{};
    /** @brief Head of the origin's documents after the read. */
    configuration_head head;
};

} // namespace savorywheel

#endif
