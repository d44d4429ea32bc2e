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

/** @brief Gradual shift of a service's traffic from old weights to new ones. */
struct rollout_move {
    /** @brief Version of the commit that requested the move. */
    config_version asked_at;
    /** @brief Weights before the move. */
    std::vector<version_weight> from;
    /** @brief Target weights. */
    std::vector<version_weight> to;
    calendar_time started_at{};
    /** @brief Deadline of the move; if absent, it proceeds as fast as is safe. */
    std::optional<calendar_time> due;
    move_status status{move_status::in_progress};
    /** @brief Time at which the move was done or withdrawn. */
    std::optional<calendar_time> ended_at;
    /** @brief Reason of the status. */
    std::string reason;

    [[nodiscard]] friend bool operator==(const rollout_move&, const rollout_move&) = default;
};

} // namespace savorywheel

#endif
