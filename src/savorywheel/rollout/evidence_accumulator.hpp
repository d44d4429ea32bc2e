#ifndef SAVORYWHEEL_ROLLOUT_EVIDENCE_ACCUMULATOR_HPP
#define SAVORYWHEEL_ROLLOUT_EVIDENCE_ACCUMULATOR_HPP

#include <savorywheel/config/rollout_move.hpp>
#include <savorywheel/rollout/evidence_table.hpp>
#include <savorywheel/rollout/move_evidence.hpp>

#include <span>
#include <vector>

namespace savorywheel {

/**
 * @brief Accumulates the evidence of one move, so that it survives a change of controller.
 *
 * Without it, controllers that restart together would evaluate a version from scratch while it
 * already carries the share that it had reached.
 */
class evidence_accumulator {
public:
    void add(std::span<const route_evidence> evidence);

    /**
     * @brief Imports the evidence that an earlier controller stored.
     * @param move The move that this controller runs.
     * @param predecessor Evidence stored by the earlier controller.
     * @return The imported evidence in batches to replay in order; empty if it belongs to another
     * move, or if this controller has recorded much of the same calls itself.
     */
    [[nodiscard]] std::vector<std::vector<route_evidence>>
    import_predecessor(const rollout_move& move, const move_evidence& predecessor);

    /** @return The evidence to store for the next controller. */
    [[nodiscard]] move_evidence summary(const rollout_move& move) const;

private:
    evidence_table sums_;
};

} // namespace savorywheel

#endif
