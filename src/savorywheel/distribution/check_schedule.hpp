#ifndef SAVORYWHEEL_DISTRIBUTION_CHECK_SCHEDULE_HPP
#define SAVORYWHEEL_DISTRIBUTION_CHECK_SCHEDULE_HPP

#include <savorywheel/core/clock.hpp>
#include <savorywheel/core/names.hpp>
#include <savorywheel/core/random_source.hpp>

#include <chrono>
#include <optional>
#include <span>

namespace savorywheel {

/** @brief Age of a confirmation at which every node checks the store itself, at the latest. */
inline constexpr std::chrono::milliseconds max_confirmation_age{1350};

/**
 * @brief Decides when a node checks the store for documents that it has not heard of.
 *
 * A watch on a connection that has gone silent returns nothing, so its silence proves nothing. The
 * nodes therefore check the store in turn: after each confirmation its origin's successor in the
 * order of the nodes is due, then the next ones, and finally every node that has not heard of a
 * newer confirmation. The age of what a node knows is bounded without regard to clocks, to the
 * other nodes and to their number; while they work, one node checks per period.
 * @warning Only for use on the control thread.
 */
class check_schedule {
public:
    /**
     * @param self Id of this node.
     * @param random Source of the jitter; must outlive the schedule.
     * @param start Time of the node's start.
     */
    check_schedule(node_id self, random_source& random, monotonic_time start);

    /**
     * @brief Records a confirmation.
     * @param origin Node that read the store.
     * @param as_of Time of the confirmation.
     * @return False if a newer one is known.
     */
    bool record(const node_id& origin, monotonic_time as_of);

    /**
     * @brief Records that the store did not answer a check of this node.
     *
     * Until it answers one, the node repeats its checks whatever the other nodes confirm, since it
     * does not count as a node that can reach the store.
     */
    void record_failure(monotonic_time now);

    /**
     * @brief Returns when this node checks the store unless it hears of a newer confirmation.
     * @param candidates Live nodes that can reach the store, in ascending order.
     */
    [[nodiscard]] monotonic_time next_check(std::span<const node_id> candidates) const;

    /** @return Time of the newest confirmation; that of the start if there is none. */
    [[nodiscard]] monotonic_time confirmed_as_of() const noexcept { return as_of_; }

private:
    [[nodiscard]] duration age_limit(std::span<const node_id> candidates) const;

    node_id self_;
    random_source& random_;
    node_id origin_;
    monotonic_time as_of_;
    duration jitter_{};
    /** Time of the next check after a failed one. */
    std::optional<monotonic_time> retry_at_;
    duration retry_delay_;
};

} // namespace savorywheel

#endif
