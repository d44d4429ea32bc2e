#ifndef SAVORYWHEEL_ROLLOUT_ROLLOUT_VIEW_HPP
#define SAVORYWHEEL_ROLLOUT_ROLLOUT_VIEW_HPP

#include <savorywheel/config/service_state.hpp>
#include <savorywheel/core/clock.hpp>
#include <savorywheel/rollout/route_evidence.hpp>

#include <cstddef>
#include <span>

namespace savorywheel {

/** @brief Inputs of a rollout policy; valid during one decision. */
struct rollout_view {
    /** @brief State of a service with a move. */
    const service_state& service;
    /** @brief Evidence of the service since the last decision. */
    std::span<const route_evidence> evidence;
    /** @brief Serving backend servers of the versions that gain a share. */
    std::size_t new_servers{};
    calendar_time now{};
};

} // namespace savorywheel

#endif
