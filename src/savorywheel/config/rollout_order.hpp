#ifndef SAVORYWHEEL_CONFIG_ROLLOUT_ORDER_HPP
#define SAVORYWHEEL_CONFIG_ROLLOUT_ORDER_HPP

#include <savorywheel/config/move_status.hpp>
#include <savorywheel/core/names.hpp>

#include <chrono>
#include <cstdint>

namespace savorywheel {

/** @brief Operators' order to move a service's traffic to another version. */
struct rollout_order {
    /** @brief Service. */
    service_name service;
    /** @brief Version that should carry the traffic. */
    version_name target;
    /** @brief Time in which the move should be done. */
    std::chrono::milliseconds duration{};
    /** @brief Status that was last recorded for this target. */
    move_status status{move_status::in_progress};
    /** @brief Revision of the order's object, for conditional updates. */
    std::uint64_t revision{};

    /** @brief Compares all members. */
    [[nodiscard]] friend bool operator==(const rollout_order&, const rollout_order&) = default;
};

} // namespace savorywheel

#endif
