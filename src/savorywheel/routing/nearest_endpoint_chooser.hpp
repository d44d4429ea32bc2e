#ifndef SAVORYWHEEL_ROUTING_NEAREST_ENDPOINT_CHOOSER_HPP
#define SAVORYWHEEL_ROUTING_NEAREST_ENDPOINT_CHOOSER_HPP

#include <savorywheel/core/random_source.hpp>
#include <savorywheel/routing/endpoint_chooser.hpp>
#include <savorywheel/routing/load_table.hpp>

#include <utility>

namespace savorywheel {

/**
 * @brief Prefers the own failure domain, then the own region; takes the less loaded of two.
 *
 * A nearer group is left when all of its endpoints have as many calls of this node outstanding as
 * they have slots.
 */
class nearest_endpoint_chooser final : public endpoint_chooser {
public:
    /**
     * @param domain Failure domain of this node.
     * @param region Region of this node.
     * @param loads Outstanding calls; must outlive the chooser.
     * @param random Random numbers; must outlive the chooser.
     */
    nearest_endpoint_chooser(failure_domain domain, region_name region, const load_table& loads,
                             random_source& random)
        : domain_{std::move(domain)}, region_{std::move(region)}, loads_{loads}, random_{random}
    {
    }

    [[nodiscard]] const route_endpoint* choose(std::span<const route_endpoint> endpoints,
                                               const version_name& version,
                                               std::span<const node_id> tried) override;

private:
    enum class distance { same_domain, same_region, other_region };

    [[nodiscard]] distance distance_to(const route_endpoint& endpoint) const noexcept;
    [[nodiscard]] const route_endpoint* less_loaded(std::span<const route_endpoint* const> group);

    failure_domain domain_;
    region_name region_;
    const load_table& loads_;
    random_source& random_;
};

} // namespace savorywheel

#endif
