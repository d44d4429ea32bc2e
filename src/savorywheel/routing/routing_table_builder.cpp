#include <savorywheel/routing/canary_set.hpp>
#include <savorywheel/routing/routing_table_builder.hpp>

#include <utility>

namespace savorywheel {

namespace {

bool routable(const member_record& record)
{
    return record.state == server_state::serving || record.state == server_state::warming;
}

route_endpoint endpoint_of(const member_record& record)
{
    return {record.id,      record.peer,  record.domain, record.region,
            record.version, record.state, record.slots,  false};
}

} // namespace

void routing_table_builder::set_state(const mesh_state& state)
{
    if (!state.tenants()) {
        tenants_ = nullptr;
    }
    else if (!state_.tenants() || *state_.tenants() != *state.tenants()) {
        tenants_ = std::make_shared<const tenant_table>(*state.tenants());
    }
    state_ = state;
    hosts_ = state.hosts() ? std::make_shared<const host_table>(*state.hosts())
                           : std::make_shared<const host_table>(state.services());
}

std::shared_ptr<const routing_table> routing_table_builder::build(const member_table& members)
{
    std::erase_if(compiled_,
                  [this](const auto& item) { return !state_.services().contains(item.first); });
    routing_table::route_map routes;
    for (const auto& [name, service] : state_.services()) {
        routes.emplace_hint(routes.end(), name, routes_of(name, service, members));
    }
    return std::make_shared<const routing_table>(state_.version(), std::move(routes), hosts_,
                                                 state_.operator_version(), state_.limits(),
                                                 tenants_);
}

std::shared_ptr<const service_routes>
routing_table_builder::routes_of(const service_name& name,
                                 const std::shared_ptr<const service_state>& service,
                                 const member_table& members)
{
    const auto* group = members.group(name);
    const auto revision = group == nullptr ? 0 : group->revision;
    auto& cached = compiled_[name];
    if (cached.routes && cached.routes->state == service && cached.revision == revision) {
        return cached.routes;
    }
    auto routes = std::make_shared<service_routes>();
    routes->state = service;
    if (group != nullptr) {
        for (const auto& [id, record] : group->records) {
            if (routable(*record)) {
                routes->endpoints.push_back(endpoint_of(*record));
            }
        }
        mark_standby_endpoints(*service, routes->endpoints);
    }
    cached = {revision, std::move(routes)};
    return cached.routes;
}

} // namespace savorywheel
