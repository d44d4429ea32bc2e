#include <savorywheel/routing/routing_table_builder.hpp>

#include <utility>

namespace savorywheel {

namespace {

bool routable(const member_update& update)
{
    const auto state = update.record.state;
    return update.status != member_status::dead && !update.record.service.empty() &&
           (state == server_state::serving || state == server_state::warming);
}

route_endpoint endpoint_of(const member_record& record)
{
    return {record.id,      record.peer,  record.domain, record.region,
            record.version, record.state, record.slots};
}

} // namespace

std::shared_ptr<const routing_table> routing_table_builder::build(const member_table& members) const
{
    std::map<service_name, std::vector<route_endpoint>> endpoints;
    for (const auto& [id, item] : members.entries()) {
        if (routable(item.update)) {
            endpoints[item.update.record.service].push_back(endpoint_of(item.update.record));
        }
    }
    routing_table::route_map routes;
    for (const auto& [name, service] : state_.services()) {
        auto compiled = std::make_shared<service_routes>();
        compiled->state = service;
        compiled->endpoints = std::move(endpoints[name]);
        routes.emplace(name, std::move(compiled));
    }
    return std::make_shared<const routing_table>(state_.version(), std::move(routes));
}

} // namespace savorywheel
