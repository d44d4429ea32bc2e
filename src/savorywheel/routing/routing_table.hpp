#ifndef SAVORYWHEEL_ROUTING_ROUTING_TABLE_HPP
#define SAVORYWHEEL_ROUTING_ROUTING_TABLE_HPP

#include <savorywheel/config/caller_limits.hpp>
#include <savorywheel/core/config_version.hpp>
#include <savorywheel/routing/host_table.hpp>
#include <savorywheel/routing/service_routes.hpp>
#include <savorywheel/routing/tenant_table.hpp>

#include <cstddef>
#include <map>
#include <memory>
#include <utility>

namespace savorywheel {

/** @brief Routing table of a proxy; immutable, so that traffic threads read it without locks. */
class routing_table {
public:
    /** @brief Routes by service. */
    using route_map = std::map<service_name, std::shared_ptr<const service_routes>>;

    /** @brief Creates the empty table that is used before the first configuration arrives. */
    routing_table() = default;

    /**
     * @param version Configuration version.
     * @param routes Routes by service.
     * @param hosts Routes by host.
     * @param operator_version Version that operators gave the configuration; zero if none.
     * @param limits What operators allow callers.
     * @param tenants Tenants by API key; nullptr if there are none.
     */
    routing_table(config_version version, route_map routes, std::shared_ptr<const host_table> hosts,
                  config_version operator_version = {}, const caller_limits& limits = {},
                  std::shared_ptr<const tenant_table> tenants = nullptr) noexcept
        : version_{version}, operator_version_{operator_version}, routes_{std::move(routes)},
          hosts_{std::move(hosts)}, limits_{limits}, tenants_{std::move(tenants)}
    {
    }

    /** @return Configuration version that the table was compiled from. */
    [[nodiscard]] config_version version() const noexcept { return version_; }

    /** @copydoc mesh_state::operator_version */
    [[nodiscard]] config_version operator_version() const noexcept { return operator_version_; }

    /** @return What operators allow callers. */
    [[nodiscard]] const caller_limits& limits() const noexcept { return limits_; }

    /** @return Tenants by API key; nullptr if there are none. */
    [[nodiscard]] const std::shared_ptr<const tenant_table>& tenants() const noexcept
    {
        return tenants_;
    }

    /** @return Routes by service. */
    [[nodiscard]] const route_map& routes() const noexcept { return routes_; }

    /** @return The service's routes; nullptr if the service does not exist. */
    [[nodiscard]] std::shared_ptr<const service_routes> find(const service_name& name) const
    {
        const auto found = routes_.find(name);
        return found == routes_.end() ? nullptr : found->second;
    }

    /** @copydoc host_table::match */
    [[nodiscard]] const host_route* match(std::string_view host, std::string_view target) const
    {
        return hosts_->match(host, target);
    }

    /** @copydoc host_table::routes_of */
    [[nodiscard]] std::size_t routes_of(std::string_view host) const
    {
        return hosts_->routes_of(host);
    }

private:
    config_version version_;
    config_version operator_version_;
    route_map routes_;
    std::shared_ptr<const host_table> hosts_{std::make_shared<const host_table>()};
    caller_limits limits_;
    std::shared_ptr<const tenant_table> tenants_;
};

} // namespace savorywheel

#endif
