#ifndef SAVORYWHEEL_ROLLOUT_EVIDENCE_ACCUMULATOR_HPP
#define SAVORYWHEEL_ROLLOUT_EVIDENCE_ACCUMULATOR_HPP

#include <savorywheel/config/rollout_move.hpp>
#include <savorywheel/rollout/evidence_table.hpp>
#include <savorywheel/rollout/move_evidence.hpp>

#include <span>
#include <vector>

namespace savorywheel {

/**
 * @brief Adds up what was seen of one move, so that it outlives the process that saw it.
 *
 * Nodes that restart together would otherwise begin to judge a version anew, at the share that it
 * had reached.
 */
class evidence_accumulator {
public:
    /** @brief Adds the evidence of one period. */
    void add(std::span<const route_evidence> evidence);

    /**
     * @brief Takes over what an earlier controller had seen.
     * @param move The move.
     * @param predecessor What the earlier controller left.
     * @return Its evidence in parts, in the order in which to judge them; empty if it belongs to
     * another move, or if this controller has seen much of the same itself.
     */
    [[nodiscard]] std::vector<std::vector<route_evidence>>
    import_predecessor(const rollout_move& move, const move_evidence& predecessor);

    /** @return What to leave to the next controller. */
    [[nodiscard]] move_evidence summary(const rollout_move& move) const;

private:
    evidence_table sums_;
};

} // namespace savorywheel

#endif
