#include <savorywheel/routing/host_name.hpp>
#include <savorywheel/routing/host_table.hpp>

#include <algorithm>
#include <functional>

namespace savorywheel {

namespace {

bool matches(std::string_view prefix, std::string_view path) noexcept
{
    if (!path.starts_with(prefix)) {
        return false;
    }
    return path.size() == prefix.size() || prefix.ends_with('/') || path[prefix.size()] == '/' ||
           path[prefix.size()] == '?';
}

host_route route_of(const service_name& service, const route_spec& spec)
{
    host_route route;
    route.path = spec.path;
    route.kind = spec.idempotent ? route_kind::idempotent : route_kind::non_idempotent;
    route.timeout = spec.deadline;
    route.is_public = spec.is_public;
    route.shares = {{service, 1}};
    return route;
}

/** Sorts longer paths first, so that the first match is the longest prefix. */
void sort_by_path(std::vector<host_route>& routes)
{
    std::ranges::stable_sort(routes, std::greater{},
                             [](const host_route& route) { return route.path.size(); });
}

} // namespace

host_table::host_table(std::span<const virtual_host> hosts)
{
    for (const auto& item : hosts) {
        auto& routes = routes_[std::string{host_name_of(item.host)}];
        routes.insert(routes.end(), item.routes.begin(), item.routes.end());
        sort_by_path(routes);
    }
}

host_table::host_table(const mesh_state::service_map& services)
{
    for (const auto& [name, service] : services) {
        auto& routes = routes_[name.str()];
        for (const auto& spec : service->spec.routes) {
            routes.push_back(route_of(name, spec));
        }
        sort_by_path(routes);
    }
}

const host_route* host_table::match(std::string_view host, std::string_view target) const
{
    const auto* routes = find(host);
    if (routes == nullptr) {
        return nullptr;
    }
    const auto route = std::ranges::find_if(
        *routes, [target](const host_route& item) { return matches(item.path, target); });
    return route == routes->end() ? nullptr : &*route;
}

std::size_t host_table::routes_of(std::string_view host) const
{
    const auto* routes = find(host);
    return routes == nullptr ? 0 : routes->size();
}

const std::vector<host_route>* host_table::find(std::string_view host) const
{
    const auto found = routes_.find(host_name_of(host));
    return found == routes_.end() ? nullptr : &found->second;
}

} // namespace savorywheel
