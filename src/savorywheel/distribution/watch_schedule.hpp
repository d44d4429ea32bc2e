#ifndef SAVORYWHEEL_DISTRIBUTION_WATCH_SCHEDULE_HPP
#define SAVORYWHEEL_DISTRIBUTION_WATCH_SCHEDULE_HPP

#include <savorywheel/core/clock.hpp>

#include <chrono>
#include <cstddef>
#include <mutex>

namespace savorywheel {

/**
 * @brief Turns of the nodes in renewing their watches of the object store.
 *
 * A watch on a connection that has gone silent returns nothing. The nodes renew their watches in
 * turn, one each second, so that one node learns of a change in time and informs the others. Up to
 * 25 nodes, the number of requests does not depend on the number of nodes. Thread-safe.
 */
class watch_schedule {
public:
    /** @param time Its time of day gives the turns. */
    explicit watch_schedule(const clock& time) noexcept : time_{time} {}

    /**
     * @brief Sets the place of this node in the order of turns.
     * @param rank Position of this node among the live nodes, from 0.
     * @param nodes Number of live nodes.
     */
    void set_place(std::size_t rank, std::size_t nodes);

    /** @return Time until this node's next turn, within the limits of a watch. */
    [[nodiscard]] std::chrono::milliseconds next_wait() const;

private:
    const clock& time_;
    mutable std::mutex mutex_;
    std::size_t rank_{};
    std::size_t nodes_{1};
};

} // namespace savorywheel

#endif
