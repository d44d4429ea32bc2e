#ifndef SAVORYWHEEL_CONFIG_ROLLOUT_MOVE_HPP
#define SAVORYWHEEL_CONFIG_ROLLOUT_MOVE_HPP

#include <savorywheel/config/move_status.hpp>
#include <savorywheel/config/version_weight.hpp>
#include <savorywheel/core/clock.hpp>
#include <savorywheel/core/config_version.hpp>

#include <optional>
#include <string>
#include <vector>

namespace savorywheel {

/** @brief One move of a service's traffic from old shares to new ones. */
struct rollout_move {
    /** @brief Version of the commit that asked for the move. */
    config_version asked_at;
    /** @brief Shares before the move. */
    std::vector<version_weight> from;
    /** @brief Shares that the move leads to. */
    std::vector<version_weight> to;
    /** @brief When the move began. */
    calendar_time started_at{};
    /** @brief When the move must be done; as soon as it is safe if absent. */
    std::optional<calendar_time> due;
    /** @brief Status. */
    move_status status{move_status::in_progress};
    /** @brief When the move was done or withdrawn. */
    std::optional<calendar_time> ended_at;
    /** @brief Why it has this status. */
    std::string reason;

    /** @brief Compares all members. */
    [[nodiscard]] friend bool operator==(const rollout_move&, const rollout_move&) = default;
};

} // namespace savorywheel

#endif
