#include <savorywheel/config/configuration_delta.hpp>
#include <savorywheel/config/list_difference.hpp>

#include <algorithm>
#include <utility>

namespace savorywheel {

namespace {

/** Routes, tenants, services and hosts of a configuration; ten times the largest that is planned.
 */
constexpr std::size_t max_items = 200'000;

/** The change of an item whose parts are not compared is the item itself. */
template<typename Item>
Item whole_item(const Item* /*previous*/, const Item& item)
{
    return item;
}

template<typename Item>
outcome<Item> same_item(const Item& item)
{
    return item;
}

std::string_view key_of_route(const host_route& route)
{
    return route.path;
}

host_delta difference(const virtual_host* previous, const virtual_host& item)
{
    const std::vector<host_route> none;
    return {item.host,
            make_list_delta<host_route>(previous == nullptr ? none : previous->routes, item.routes,
                                        key_of_route, whole_item<host_route>)};
}

} // namespace

configuration_delta make_configuration_delta(const operator_configuration& base,
                                             std::uint64_t base_revision,
                                             const operator_configuration& target)
{
    configuration_delta delta;
    delta.base_version = base.version;
    delta.base_revision = base_revision;
    delta.version = target.version;
    delta.services = make_list_delta<service_name>(
        base.services, target.services,
        [](const service_name& name) { return std::string_view{name.str()}; },
        whole_item<service_name>);
    delta.hosts = make_list_delta<host_delta>(
        base.hosts, target.hosts,
        [](const virtual_host& item) { return std::string_view{item.host}; }, difference);
    delta.limits = target.limits;
    delta.tenants = make_list_delta<tenant_spec>(
        base.tenants, target.tenants,
        [](const tenant_spec& tenant) { return std::string_view{tenant.name.str()}; },
        whole_item<tenant_spec>);
    return delta;
}

outcome<operator_configuration> apply_configuration_delta(const operator_configuration& base,
                                                          std::uint64_t base_revision,
                                                          const configuration_delta& delta)
{
    if (delta.base_version != base.version || delta.base_revision != base_revision) {
        return failure{failure_code::conflict, "difference from another configuration"};
    }
    std::size_t budget = max_items;
    const auto restore_host = [&base, &budget](const host_delta& item) -> outcome<virtual_host> {
        const auto known = std::ranges::find(base.hosts, item.host, &virtual_host::host);
        const std::vector<host_route> none;
        auto routes = apply_list_delta(known == base.hosts.end() ? none : known->routes,
                                       item.routes, same_item<host_route>, budget);
        if (!routes) {
            return routes.reason();
        }
        return virtual_host{item.host, std::move(*routes)};
    };
    auto services =
        apply_list_delta(base.services, delta.services, same_item<service_name>, budget);
    auto hosts = apply_list_delta(base.hosts, delta.hosts, restore_host, budget);
    auto tenants = apply_list_delta(base.tenants, delta.tenants, same_item<tenant_spec>, budget);
    if (!services || !hosts || !tenants) {
        return !services ? services.reason() : !hosts ? hosts.reason() : tenants.reason();
    }
    operator_configuration result;
    result.version = delta.version;
    result.services = std::move(*services);
    result.hosts = std::move(*hosts);
    result.limits = delta.limits;
    result.tenants = std::move(*tenants);
    return result;
}

} // namespace savorywheel
