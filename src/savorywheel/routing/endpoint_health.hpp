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
    void answered(const node_id& endpoint);

    /** @brief Notes a call without an answer; several in a row take the endpoint out for a while.
     */
    void failed(const node_id& endpoint);

    /** @brief Notes that no call can reach the endpoint, which is avoided for a short while. */
    void unreachable(const node_id& endpoint);
    /** @brief Notes a refusal for want of capacity, which holds for a short while. */
    void overloaded(const node_id& endpoint);

    /** @brief Notes a refusal because the endpoint takes no new work. */
    void leaving(const node_id& endpoint);

    /** @return True if the endpoint is taken out for a while. */
    [[nodiscard]] bool avoided(const node_id& endpoint) const;

    /** @return True if the endpoint has refused a call for want of capacity a short while ago. */
    [[nodiscard]] bool full(const node_id& endpoint) const;

    /** @return Weight from 0.1 to 1, which grows from the first time that this is asked. */
    [[nodiscard]] double weight(const node_id& endpoint);

private:
    struct record {
        monotonic_time first_seen;
        monotonic_time last_seen;
        unsigned failures{};
        unsigned ejections{};
        monotonic_time avoided_until;
        monotonic_time full_until;
    };

    [[nodiscard]] record& entry(const node_id& endpoint, monotonic_time now);
    void forget_old(monotonic_time now);

    const clock& clock_;
    mutable std::mutex mutex_;
    std::map<node_id, record> records_;
};

} // namespace savorywheel

#endif
