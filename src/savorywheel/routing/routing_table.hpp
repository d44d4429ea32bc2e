#ifndef SAVORYWHEEL_ROUTING_ROUTING_TABLE_HPP
#define SAVORYWHEEL_ROUTING_ROUTING_TABLE_HPP

#include <savorywheel/core/config_version.hpp>
#include <savorywheel/routing/service_routes.hpp>

#include <map>
#include <memory>
#include <utility>

namespace savorywheel {

/** @brief What a proxy routes by; immutable, so that traffic threads read it without locks. */
class routing_table {
public:
    /** @brief Routes by service. */
    using route_map = std::map<service_name, std::shared_ptr<const service_routes>>;

    /** @brief Creates the table before the first configuration: it routes nothing. */
    routing_table() = default;

    /**
     * @param version Configuration version that the table holds.
     * @param routes Routes by service.
     */
    routing_table(config_version version, route_map routes) noexcept
        : version_{version}, routes_{std::move(routes)}
    {
    }

    /** @return Configuration version that the table holds. */
    [[nodiscard]] config_version version() const noexcept { return version_; }

    /** @return Routes by service. */
    [[nodiscard]] const route_map& routes() const noexcept { return routes_; }

    /** @return The service's routes; nullptr if the service does not exist. */
    [[nodiscard]] std::shared_ptr<const service_routes> find(const service_name& name) const
    {
        const auto found = routes_.find(name);
        return found == routes_.end() ? nullptr : found->second;
    }

private:
    config_version version_;
    route_map routes_;
};

} // namespace savorywheel

#endif
