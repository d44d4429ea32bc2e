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

/** @brief A service's accepted configuration: the unit that commits replace. */
struct service_state {
    /** @brief Version of the last commit that changed this service. */
    config_version changed_at;
    /** @brief What operators ask for. */
    service_spec spec;
    /** @brief Shares that the automation has put in force. */
    std::vector<version_weight> weights;
    /** @brief Override, if one stands. */
    std::optional<manual_override> override_in_force;
    /** @brief The latest move, if there was one. */
    std::optional<rollout_move> move;

    /** @return The shares that proxies use: those of the override if there is one. */
    [[nodiscard]] std::span<const version_weight> effective_weights() const noexcept
    {
        return override_in_force ? override_in_force->weights : weights;
    }

    /** @brief Compares all members. */
    [[nodiscard]] friend bool operator==(const service_state&, const service_state&) = default;
};

} // namespace savorywheel

#endif
