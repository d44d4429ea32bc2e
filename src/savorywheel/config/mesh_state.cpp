#include <savorywheel/config/mesh_state.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace savorywheel {

namespace {

template<typename Value>
bool equal_values(const std::shared_ptr<const Value>& left,
                  const std::shared_ptr<const Value>& right)
{
    return left == right || (left && right && *left == *right);
}

} // namespace

mesh_state::mesh_state(config_version version, std::vector<domain_spec> domains,
                       std::span<const service_state> services, std::vector<tenant_spec> tenants)
    : version_{version}, domains_{std::move(domains)}
{
    set_tenants(std::move(tenants));
    for (const auto& service : services) {
        services_.emplace(service.spec.name, std::make_shared<const service_state>(service));
    }
}

mesh_state::mesh_state(const operator_configuration& source, config_version version)
    : version_{version}, operator_version_{source.version},
      hosts_{std::make_shared<const std::vector<virtual_host>>(source.hosts)}, limits_{
                                                                                   source.limits}
{
    set_tenants(source.tenants);
    std::map<service_name, service_state> services;
    for (const auto& name : source.services) {
        services[name].spec.name = name;
    }
    for (const auto& host : source.hosts) {
        for (const auto& route : host.routes) {
            for (const auto& share : route.shares) {
                auto& spec = services[share.service].spec;
                spec.name = share.service;
                spec.routes.push_back({route.path, is_idempotent(route.kind), route.timeout, {}});
            }
        }
    }
    for (auto& [name, service] : services) {
        service.changed_at = version;
        services_.emplace(name, std::make_shared<const service_state>(std::move(service)));
    }
}

void mesh_state::replace(service_state service)
{
    const auto name = service.spec.name;
    services_.insert_or_assign(name, std::make_shared<const service_state>(std::move(service)));
}

outcome<mesh_state> mesh_state::apply(const commit& change) const
{
    if (change.version != version_.next()) {
        return failure{failure_code::conflict, fmt::format("commit {} does not follow version {}",
                                                           change.version.number, version_.number)};
    }
    auto next = *this;
    next.version_ = change.version;
    if (change.domains) {
        next.domains_ = *change.domains;
    }
    if (change.tenants) {
        next.set_tenants(*change.tenants);
    }
    for (const auto& removal : change.removals) {
        if (next.services_.erase(removal) == 0) {
            return failure{failure_code::invalid_argument,
                           fmt::format("service {} to remove does not exist", removal.str())};
        }
    }
    for (const auto& upsert : change.upserts) {
        auto state = std::make_shared<service_state>(upsert);
        state->changed_at = change.version;
        next.services_.insert_or_assign(upsert.spec.name, std::move(state));
    }
    if (const auto checked = next.check_references(); !checked) {
        return checked.reason();
    }
    return next;
}

std::shared_ptr<const service_state> mesh_state::find(const service_name& name) const
{
    const auto found = services_.find(name);
    return found == services_.end() ? nullptr : found->second;
}

bool operator==(const mesh_state& left, const mesh_state& right)
{
    const auto equal_service = [](const auto& one, const auto& other) {
        return one.first == other.first && equal_values(one.second, other.second);
    };
    return left.version_ == right.version_ && left.operator_version_ == right.operator_version_ &&
           left.domains_ == right.domains_ && equal_values(left.hosts_, right.hosts_) &&
           left.limits_ == right.limits_ && equal_values(left.tenants_, right.tenants_) &&
           std::ranges::equal(left.services_, right.services_, equal_service);
}

void mesh_state::set_tenants(std::vector<tenant_spec> tenants)
{
    tenants_ = tenants.empty()
                   ? nullptr
                   : std::make_shared<const std::vector<tenant_spec>>(std::move(tenants));
}

outcome<bool> mesh_state::check_references() const
{
    for (const auto& [name, service] : services_) {
        for (const auto& dependency : service->spec.depends_on) {
            if (!services_.contains(dependency)) {
                return failure{failure_code::invalid_argument,
                               fmt::format("service {} depends on {}, which does not exist",
                                           name.str(), dependency.str())};
            }
        }
    }
    return true;
}

} // namespace savorywheel
