#ifndef SAVORYWHEEL_CONFIG_ROLLOUT_RECORD_HPP
#define SAVORYWHEEL_CONFIG_ROLLOUT_RECORD_HPP

#include <savorywheel/config/rollout_move.hpp>

#include <vector>

namespace savorywheel {

/** @brief Progress of a rollout order, stored by the mesh next to the order. */
struct rollout_record {
    rollout_move move;
    /** @brief Weights in force. */
    std::vector<version_weight> weights;

    [[nodiscard]] friend bool operator==(const rollout_record&, const rollout_record&) = default;
};

} // namespace savorywheel

#endif
