#ifndef SAVORYWHEEL_CONFIG_ROLLOUT_ORDER_HPP
#define SAVORYWHEEL_CONFIG_ROLLOUT_ORDER_HPP

#include <savorywheel/config/rollout_record.hpp>
#include <savorywheel/core/names.hpp>

#include <chrono>
#include <cstdint>
#include <optional>

namespace savorywheel {

/** @brief Operators' order to move a service's traffic to another version, by a time. */
struct rollout_order {
    /** @brief Service. */
    service_name service;
    /** @brief Version that should carry the traffic. */
    version_name target;
    /** @brief Time in which the move should be done. */
    std::chrono::milliseconds duration{};
    /** @brief Revision of the order's object; grows with each change of it. */
    std::uint64_t revision{};
    /** @brief What the mesh has recorded of the move to this target. */
    std::optional<rollout_record> record;

    /** @brief Compares all members. */
    [[nodiscard]] friend bool operator==(const rollout_order&, const rollout_order&) = default;
};

} // namespace savorywheel

#endif
