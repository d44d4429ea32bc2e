#ifndef SAVORYWHEEL_ROUTING_LOCALITY_ENDPOINT_SELECTOR_HPP
#define SAVORYWHEEL_ROUTING_LOCALITY_ENDPOINT_SELECTOR_HPP

#include <savorywheel/core/clock.hpp>
#include <savorywheel/core/random_source.hpp>
#include <savorywheel/routing/endpoint_cost.hpp>
#include <savorywheel/routing/endpoint_health.hpp>
#include <savorywheel/routing/endpoint_selector.hpp>
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
 *
 * If a gate reports its remaining work, costs are those of the expected work of the call, and a
 * random one of the endpoints with nearly the least cost is selected, so that nodes with the same
 * reports do not all select the same endpoint. Otherwise costs are those of the number of calls.
 */
class locality_endpoint_selector final : public endpoint_selector {
public:
    /** @brief Dependencies; all must outlive the selector. */
    struct environment {
        /** @brief Estimated loads of endpoints. */
        load_table& loads;
        /** @brief Passive health checks. */
        endpoint_health& health;
        random_source& random;
        const clock& time;
    };

    /**
     * @param domain Failure domain of this node.
     * @param region Region of this node.
     * @param env Dependencies.
     */
    locality_endpoint_selector(failure_domain domain, region_name region, environment env)
        : domain_{std::move(domain)}, region_{std::move(region)}, environment_{env}
    {
    }

    [[nodiscard]] const route_endpoint* select(std::span<const route_endpoint> endpoints,
                                               const version_name& version,
                                               std::span<const node_id> tried,
                                               const call_profile& call) override;

private:
    using candidate_span = std::span<endpoint_candidate>;

    [[nodiscard]] bool selects_standby(std::span<const route_endpoint> endpoints,
                                       const version_name& version);
    [[nodiscard]] endpoint_distance distance_to(const route_endpoint& endpoint) const noexcept;
    [[nodiscard]] static bool has_capacity(const endpoint_candidate& candidate);
    [[nodiscard]] double load_of(const endpoint_candidate& candidate);
    [[nodiscard]] const route_endpoint* select_less_loaded(candidate_span candidates);
    /** @return The endpoint of least cost; nullptr if none has reported its load. */
    [[nodiscard]] const route_endpoint* select_least_cost(candidate_span candidates,
                                                          const call_profile& call);
    /** @return A random one of the endpoints whose cost is within a margin of the least. */
    [[nodiscard]] const route_endpoint* select_near_least(candidate_span candidates);
    /** @return The less loaded of two nearest endpoints with capacity; nullptr if none has any. */
    [[nodiscard]] const route_endpoint* select_nearest_with_capacity(candidate_span candidates);

    failure_domain domain_;
    region_name region_;
    environment environment_;
};

} // namespace savorywheel

#endif
