#ifndef SAVORYWHEEL_CONFIG_ROLLOUT_RECORD_HPP
#define SAVORYWHEEL_CONFIG_ROLLOUT_RECORD_HPP

#include <savorywheel/config/rollout_move.hpp>

#include <vector>

namespace savorywheel {

/** @brief What the mesh records beside a rollout order. */
struct rollout_record {
    /** @brief The move. */
    rollout_move move;
    /** @brief Shares in force. */
    std::vector<version_weight> weights;

    /** @brief Compares both members. */
    [[nodiscard]] friend bool operator==(const rollout_record&, const rollout_record&) = default;
};

} // namespace savorywheel

#endif
