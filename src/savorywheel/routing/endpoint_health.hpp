#ifndef SAVORYWHEEL_ROUTING_ENDPOINT_HEALTH_HPP
#define SAVORYWHEEL_ROUTING_ENDPOINT_HEALTH_HPP

#include <savorywheel/core/clock.hpp>
#include <savorywheel/core/names.hpp>

#include <map>
#include <mutex>

namespace savorywheel {

/**
 * @brief Passive health checks of endpoints, based on the calls of this node; thread-safe.
 *
 * Announced states and loads are not used here, because they may be stale or wrong.
 */
class endpoint_health {
public:
    /** @param time Clock; must outlive this object. */
    explicit endpoint_health(const clock& time) noexcept : clock_{time} {}

    /** @brief Records a complete response: resets the failure count, shortens the next ejection. */
    void answered(const node_id& endpoint);

    /**
     * @brief Records a call without a response.
     *
     * Consecutive failures eject the endpoint, for a period that grows with each ejection.
     */
    void failed(const node_id& endpoint);

    /** @brief Records that the endpoint cannot be reached; excludes it for 500 ms. */
    void unreachable(const node_id& endpoint);

    /** @brief Records a refusal for lack of capacity; marks the endpoint as full for 100 ms. */
    void overloaded(const node_id& endpoint);

    /** @brief Records a refusal because the endpoint is draining; excludes it for 5 s. */
    void leaving(const node_id& endpoint);

    /** @return True if the endpoint is currently excluded from load balancing. */
    [[nodiscard]] bool avoided(const node_id& endpoint) const;

    /** @return True if the endpoint has recently refused a call for lack of capacity. */
    [[nodiscard]] bool full(const node_id& endpoint) const;

    /** @return Slow start weight from 0.1 to 1; rises linearly over 20 s from the first use. */
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
