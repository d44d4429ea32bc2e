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
 * @brief Chooses the endpoint of least cost, so a near one unless a farther one is quicker by more.
 *
 * Before any gate has told its load, it prefers the own failure domain, then the own region, and
 * takes the less loaded of two. A nearer group is left when each of its endpoints is taken out, has
 * refused a call for want of capacity, or has as many calls of this node as it has slots.
 */
class locality_endpoint_selector final : public endpoint_selector {
public:
    /** @brief What the chooser works with; all must outlive it. */
    struct environment {
        /** @brief Outstanding calls. */
        const load_table& loads;
        /** @brief What earlier calls met. */
        endpoint_health& health;
        /** @brief Random numbers. */
        random_source& random;
        /** @brief Clock. */
        const clock& time;
    };

    /**
     * @param domain Failure domain of this node.
     * @param region Region of this node.
     * @param env What the chooser works with.
     */
    locality_endpoint_selector(failure_domain domain, region_name region, environment env)
        : domain_{std::move(domain)}, region_{std::move(region)}, environment_{env}
    {
    }

    [[nodiscard]] const route_endpoint* select(std::span<const route_endpoint> endpoints,
                                               const version_name& version,
                                               std::span<const node_id> tried,
                                               std::size_t bytes) override;

private:
    using endpoint_pointers = std::span<const route_endpoint* const>;

    [[nodiscard]] endpoint_distance distance_to(const route_endpoint& endpoint) const noexcept;
    [[nodiscard]] bool has_capacity(const route_endpoint& endpoint) const;
    [[nodiscard]] double load_of(const route_endpoint& endpoint);
    [[nodiscard]] const route_endpoint* select_less_loaded(endpoint_pointers candidates);
    /** The endpoint of least cost; nullptr if no gate of them has told its load. */
    [[nodiscard]] const route_endpoint* select_least_cost(endpoint_pointers candidates,
                                                          std::size_t bytes);
    /** The less loaded of two with capacity in the nearest group that has one; or nullptr. */
    [[nodiscard]] const route_endpoint* select_nearest_with_capacity(endpoint_pointers candidates);
    [[nodiscard]] duration least_reported_service_time(endpoint_pointers candidates) const;

    failure_domain domain_;
    region_name region_;
    environment environment_;
};

} // namespace savorywheel

#endif
