#ifndef SAVORYWHEEL_ROUTING_ENDPOINT_HEALTH_HPP
#define SAVORYWHEEL_ROUTING_ENDPOINT_HEALTH_HPP

#include <savorywheel/core/clock.hpp>
#include <savorywheel/core/names.hpp>
#include <savorywheel/routing/endpoint_candidate.hpp>

#include <mutex>
#include <span>
#include <unordered_map>

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
    void record_success(const node_id& endpoint);

    /**
     * @brief Records a call without a response.
     *
     * Consecutive failures eject the endpoint, for a period that grows with each ejection.
     */
    void record_failure(const node_id& endpoint);

    /** @brief Records that the endpoint cannot be reached; excludes it for 500 ms. */
    void record_unreachable(const node_id& endpoint);

    /** @brief Records a refusal for lack of capacity; marks the endpoint as full for 100 ms. */
    void record_overload(const node_id& endpoint);

    /** @brief Records a refusal because the endpoint is draining; excludes it for 5 s. */
    void record_draining(const node_id& endpoint);

    /** @return True if the endpoint is currently excluded from load balancing. */
    [[nodiscard]] bool is_excluded(const node_id& endpoint) const;

    /** @brief Sets the standing of all candidates, under one lock. */
    void read(std::span<endpoint_candidate> candidates) const;

    /** @return True if the endpoint has recently refused a call for lack of capacity. */
    [[nodiscard]] bool at_capacity(const node_id& endpoint) const;

    /** @return Slow start weight from 0.1 to 1; rises linearly over 20 s from the first use. */
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
    std::unordered_map<node_id, record> records_;
};

} // namespace savorywheel

#endif
