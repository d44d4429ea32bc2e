#ifndef SAVORYWHEEL_ROUTING_NEAREST_ENDPOINT_CHOOSER_HPP
#define SAVORYWHEEL_ROUTING_NEAREST_ENDPOINT_CHOOSER_HPP

#include <savorywheel/core/random_source.hpp>
#include <savorywheel/routing/endpoint_chooser.hpp>
#include <savorywheel/routing/endpoint_health.hpp>
#include <savorywheel/routing/load_table.hpp>

#include <utility>

namespace savorywheel {

/**
 * @brief Prefers the own failure domain, then the own region; takes the less loaded of two.
 *
 * A nearer group is left when each of its endpoints is taken out, has refused a call for want of
 * capacity, or has as many calls of this node outstanding as it has slots.
 */
class nearest_endpoint_chooser final : public endpoint_chooser {
public:
    /** @brief What the chooser works with; all must outlive it. */
    struct environment {
        /** @brief Outstanding calls. */
        const load_table& loads;
        /** @brief What earlier calls met. */
        endpoint_health& health;
        /** @brief Random numbers. */
        random_source& random;
    };

    /**
     * @param domain Failure domain of this node.
     * @param region Region of this node.
     * @param surroundings What the chooser works with.
     */
    nearest_endpoint_chooser(failure_domain domain, region_name region, environment surroundings)
        : domain_{std::move(domain)}, region_{std::move(region)}, environment_{surroundings}
    {
    }

    [[nodiscard]] const route_endpoint* choose(std::span<const route_endpoint> endpoints,
                                               const version_name& version,
                                               std::span<const node_id> tried) override;

private:
    using group = std::span<const route_endpoint* const>;
    enum class distance { same_domain, same_region, other_region };

    [[nodiscard]] distance distance_to(const route_endpoint& endpoint) const noexcept;
    [[nodiscard]] bool has_capacity(const route_endpoint& endpoint) const;
    [[nodiscard]] double load_of(const route_endpoint& endpoint);
    [[nodiscard]] const route_endpoint* less_loaded(group candidates);

    failure_domain domain_;
    region_name region_;
    environment environment_;
};

} // namespace savorywheel

#endif
