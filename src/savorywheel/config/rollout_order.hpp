#ifndef SAVORYWHEEL_CONFIG_ROLLOUT_ORDER_HPP
#define SAVORYWHEEL_CONFIG_ROLLOUT_ORDER_HPP

#include <savorywheel/config/rollout_record.hpp>
#include <savorywheel/core/names.hpp>

#include <chrono>
#include <cstdint>
#include <optional>

namespace savorywheel {

/** @brief Operator's order to move a service's traffic to another version within a given time. */
struct rollout_order {
    service_name service;
    /** @brief Version to move the traffic to. */
    version_name target;
    /** @brief Time within which the move should complete. */
    std::chrono::milliseconds duration{};
    /** @brief Revision of the order's object in the platform's store; grows with each write. */
    std::uint64_t revision{};
    /** @brief Recorded progress of the move to this target, if any. */
    std::optional<rollout_record> record;
    /** @brief Record of the order that this one replaced, as long as it has none of its own. */
    std::optional<rollout_record> previous;

    [[nodiscard]] friend bool operator==(const rollout_order&, const rollout_order&) = default;
};

} // namespace savorywheel

#endif
