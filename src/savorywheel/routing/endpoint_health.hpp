#ifndef SAVORYWHEEL_ROUTING_ENDPOINT_HEALTH_HPP
#define SAVORYWHEEL_ROUTING_ENDPOINT_HEALTH_HPP

#include <savorywheel/core/clock.hpp>
#include <savorywheel/core/names.hpp>

#include <map>
#include <mutex>

namespace savorywheel {

/**
 * @brief What this node saw of endpoints on its own calls; any thread may use it.
 *
 * Announced states and loads are not used here: they may lag or mislead.
 */
class endpoint_health {
public:
    /** @param time Clock; must outlive the object. */
    explicit endpoint_health(const clock& time) noexcept : clock_{time} {}

    /** @brief Notes a whole answer. */
    void record_success(const node_id& endpoint);

    /** @brief Notes a call without an answer; several in a row take the endpoint out for a while.
     */
    void record_failure(const node_id& endpoint);

    /** @brief Notes that no call can reach the endpoint, which is avoided for a short while. */
    void record_unreachable(const node_id& endpoint);
    /** @brief Notes a refusal for want of capacity, which holds for a short while. */
    void record_overload(const node_id& endpoint);

    /** @brief Notes a refusal because the endpoint takes no new work. */
    void record_draining(const node_id& endpoint);

    /** @return True if the endpoint is taken out for a while. */
    [[nodiscard]] bool is_excluded(const node_id& endpoint) const;

    /** @return True if the endpoint has refused a call for want of capacity a short while ago. */
    [[nodiscard]] bool at_capacity(const node_id& endpoint) const;

    /** @return Weight from 0.1 to 1, which grows from the first time that this is asked. */
    [[nodiscard]] double slow_start_weight(const node_id& endpoint);

private:
    struct record {
        monotonic_time first_seen;
        monotonic_time last_seen;
        unsigned failures{};
        unsigned ejections{};
        monotonic_time excluded_until;
        monotonic_time at_capacity_until;
    };

    [[nodiscard]] record& find_or_insert(const node_id& endpoint, monotonic_time now);
    void erase_expired(monotonic_time now);

    const clock& clock_;
    mutable std::mutex mutex_;
    std::map<node_id, record> records_;
};

} // namespace savorywheel

#endif
