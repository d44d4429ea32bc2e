#ifndef SAVORYWHEEL_ROLLOUT_MOVE_EVIDENCE_HPP
#define SAVORYWHEEL_ROLLOUT_MOVE_EVIDENCE_HPP

#include <savorywheel/core/config_version.hpp>
#include <savorywheel/rollout/route_evidence.hpp>

#include <vector>

namespace savorywheel {

/** @brief Evidence of one move that a controller stores for its successor. */
struct move_evidence {
    /** @brief Configuration version that requested the move. */
    config_version asked_at;
    /** @brief Totals by version, route and distance. */
    std::vector<route_evidence> evidence;
};

} // namespace savorywheel

#endif
