#ifndef SAVORYWHEEL_CONFIG_SERVICE_STATE_HPP
#define SAVORYWHEEL_CONFIG_SERVICE_STATE_HPP

#include <savorywheel/config/manual_override.hpp>
#include <savorywheel/config/rollout_move.hpp>
#include <savorywheel/config/service_spec.hpp>
#include <savorywheel/core/config_version.hpp>

#include <optional>
#include <span>
#include <vector>

namespace savorywheel {

/** @brief Accepted configuration of one service: the unit that commits replace. */
struct service_state {
    /** @brief Version of the last commit that changed this service. */
    config_version changed_at;
    /** @brief Desired state, as set by operators. */
    service_spec spec;
    /** @brief Weights in force unless an override replaces them. */
    std::vector<version_weight> weights;
    /** @brief Override in force, if any. */
    std::optional<manual_override> override_in_force;
    /** @brief Latest move, if any. */
    std::optional<rollout_move> move;

    /** @return Weights that proxies use: those of the override if one is in force. */
    [[nodiscard]] std::span<const version_weight> effective_weights() const noexcept
    {
        return override_in_force ? override_in_force->weights : weights;
    }

    [[nodiscard]] friend bool operator==(const service_state&, const service_state&) = default;
};

} // namespace savorywheel

#endif
