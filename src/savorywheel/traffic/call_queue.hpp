#ifndef SAVORYWHEEL_TRAFFIC_CALL_QUEUE_HPP
#define SAVORYWHEEL_TRAFFIC_CALL_QUEUE_HPP

#include <savorywheel/traffic/express_share.hpp>
#include <savorywheel/traffic/fair_clock.hpp>
#include <savorywheel/traffic/gate_call.hpp>
#include <savorywheel/traffic/queue_ahead.hpp>
#include <savorywheel/traffic/queue_rank.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <utility>
#include <vector>

namespace savorywheel {

/**
 * @brief Calls that wait for a slot, in the order in which they start.
 *
 * The order is: tenant's priority, route's priority, class, fair share of the tenants by expected
 * work, arrival. Without tenants, this is FIFO within a priority and class. Adding and removing the
 * first or last call takes O(log n).
 */
class call_queue {
public:
    using call_pointer = std::shared_ptr<gate_call>;

    /**
     * @brief Adds a call with its placement and expected work.
     * @return True if it is not the last one, so that calls behind it now start later.
     */
    bool push(call_pointer item);

    /** @return The next call, removed from the queue; nullptr if the queue is empty. */
    [[nodiscard]] call_pointer pop();

    /** @return The call of the lowest rank, removed from the queue; nullptr if it is empty. */
    [[nodiscard]] call_pointer pop_last();

    /** @return Rank that push() would give to a call. */
    [[nodiscard]] queue_rank rank_of(const gate_call& item, call_class placement) const;

    /** @return Calls that would be started before a new call of this rank. */
    [[nodiscard]] queue_ahead ahead_of(const queue_rank& rank) const;

    /** @return Number of calls that would be started before a new call of this priority. */
    [[nodiscard]] std::size_t count_ahead_of(std::uint32_t priority) const;

    /** @return Expected work of all calls. */
    [[nodiscard]] duration work() const noexcept { return work_; }

    [[nodiscard]] std::size_t size() const noexcept { return calls_.size(); }

    [[nodiscard]] bool empty() const noexcept { return calls_.empty(); }

    /** @brief Calls a function for each call in the order in which they start. */
    void for_each(const std::function<void(const gate_call&)>& visit) const;

    /**
     * @brief Removes the calls that match a predicate.
     * @return The removed calls.
     */
    std::vector<call_pointer> remove_if(const std::function<bool(const gate_call&)>& predicate);

    /**
     * @brief Removes the calls that match a predicate, which also gets the calls ahead that remain.
     * @return The removed calls.
     */
    std::vector<call_pointer>
    remove_if(const std::function<bool(const gate_call&, const queue_ahead&)>& predicate);

private:
    using call_map = std::map<queue_rank, call_pointer>;
    /** Priority of the tenant and of the route. */
    using lane_key = std::pair<std::uint32_t, std::uint32_t>;

    /** State of the calls with the same priorities; exists while any of them is queued. */
    struct priority_lane {
        fair_clock clock;
        express_share share;
        std::size_t size{};
        std::size_t express{};
    };

    [[nodiscard]] call_map::iterator next();
    call_pointer remove(call_map::iterator position, bool starts);

    call_map calls_;
    std::map<lane_key, priority_lane> lanes_;
    duration work_{};
    std::uint64_t arrivals_{};
};

} // namespace savorywheel

#endif
