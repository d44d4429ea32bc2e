#ifndef SAVORYWHEEL_ROLLOUT_MOVE_EVIDENCE_HPP
#define SAVORYWHEEL_ROLLOUT_MOVE_EVIDENCE_HPP

#include <savorywheel/core/config_version.hpp>
#include <savorywheel/rollout/route_evidence.hpp>

#include <vector>

namespace savorywheel {

/** @brief All that a controller has seen of one move; the next controller goes on from it. */
struct move_evidence {
    /** @brief Version that asked for the move. */
    config_version asked_at;
    /** @brief Sums by version, route and distance. */
    std::vector<route_evidence> evidence;
};

} // namespace savorywheel

#endif
