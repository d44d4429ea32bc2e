#ifndef SAVORYWHEEL_ROUTING_NEAREST_ENDPOINT_CHOOSER_HPP
#define SAVORYWHEEL_ROUTING_NEAREST_ENDPOINT_CHOOSER_HPP

#include <savorywheel/core/clock.hpp>
#include <savorywheel/core/random_source.hpp>
#include <savorywheel/routing/endpoint_chooser.hpp>
#include <savorywheel/routing/endpoint_cost.hpp>
#include <savorywheel/routing/endpoint_health.hpp>
#include <savorywheel/routing/load_table.hpp>

#include <utility>

namespace savorywheel {

/**
 * @brief Selects the endpoint of least estimated cost, which favours near endpoints.
 *
 * Until a gate has reported its load, endpoints in the own failure domain are preferred, then those
 * in the own region, and the less loaded of two random candidates is selected. A farther group is
 * used only if each nearer endpoint is excluded, has recently refused a call for lack of capacity,
 * or has as many calls of this node in flight as it has slots.
 */
class nearest_endpoint_chooser final : public endpoint_chooser {
public:
    /** @brief Dependencies; all must outlive the selector. */
    struct environment {
        /** @brief Estimated loads of endpoints. */
        const load_table& loads;
        /** @brief Passive health checks. */
        endpoint_health& health;
        random_source& random;
        const clock& time;
    };

    /**
     * @param domain Failure domain of this node.
     * @param region Region of this node.
     * @param surroundings Dependencies.
     */
    nearest_endpoint_chooser(failure_domain domain, region_name region, environment surroundings)
        : domain_{std::move(domain)}, region_{std::move(region)}, environment_{surroundings}
    {
    }

    [[nodiscard]] const route_endpoint* choose(std::span<const route_endpoint> endpoints,
                                               const version_name& version,
                                               std::span<const node_id> tried,
                                               std::size_t bytes) override;

private:
    using group = std::span<const route_endpoint* const>;

    [[nodiscard]] endpoint_distance distance_to(const route_endpoint& endpoint) const noexcept;
    [[nodiscard]] bool has_capacity(const route_endpoint& endpoint) const;
    [[nodiscard]] double load_of(const route_endpoint& endpoint);
    [[nodiscard]] const route_endpoint* less_loaded(group candidates);
    /** @return The endpoint of least cost; nullptr if none has reported its load. */
    [[nodiscard]] const route_endpoint* cheapest(group candidates, std::size_t bytes);
    /** @return The less loaded of two nearest endpoints with capacity; nullptr if none has any. */
    [[nodiscard]] const route_endpoint* nearest_free(group candidates);
    [[nodiscard]] duration typical_service_time(group candidates) const;

    failure_domain domain_;
    region_name region_;
    environment environment_;
};

} // namespace savorywheel

#endif
