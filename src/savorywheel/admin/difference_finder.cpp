#include <savorywheel/admin/difference_finder.hpp>
#include <savorywheel/admin/service_comparison.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <map>

namespace savorywheel {

namespace {

std::string describe(const tenant_spec& tenant)
{
    return fmt::format("{} keys, priority {}, {} requests per second, burst {}", tenant.keys.size(),
                       tenant.priority, tenant.rate_per_s, tenant.burst);
}

/** @return Number of keys that are not in the other list. */
std::size_t count_missing(std::span<const key_digest> keys, std::span<const key_digest> others)
{
    return static_cast<std::size_t>(std::ranges::count_if(keys, [others](const auto& digest) {
        return std::ranges::find(others, digest) == others.end();
    }));
}

} // namespace

diff_report difference_finder::compare(const mesh_spec& desired) const
{
    diff_report report;
    report.version = state_.version();
    compare_domains(desired.domains, report);
    compare_tenants(desired.tenants, report);
    compare_services(desired.services, report);
    find_removed(desired.services, report);
    return report;
}

void difference_finder::compare_domains(std::span<const domain_spec> desired,
                                        diff_report& report) const
{
    const auto old = state_.domains();
    for (const auto& domain : desired) {
        if (std::ranges::find(old, domain) == old.end()) {
            report.domains.push_back(
                fmt::format("failure domain {} in {}", domain.name.str(), domain.region.str()));
        }
    }
    for (const auto& domain : old) {
        if (std::ranges::find(desired, domain.name, &domain_spec::name) == desired.end()) {
            report.domains.push_back(fmt::format("failure domain {} removed", domain.name.str()));
        }
    }
}

void difference_finder::compare_tenants(std::span<const tenant_spec> desired,
                                        diff_report& report) const
{
    std::map<tenant_name, const tenant_spec*> old;
    if (state_.tenants()) {
        for (const auto& tenant : *state_.tenants()) {
            old.emplace(tenant.name, &tenant);
        }
    }
    for (const auto& tenant : desired) {
        const auto found = old.find(tenant.name);
        if (found == old.end()) {
            report.tenants.push_back(
                fmt::format("tenant {} added: {}", tenant.name.str(), describe(tenant)));
            continue;
        }
        if (*found->second != tenant) {
            report.tenants.push_back(fmt::format(
                "tenant {}: {} -> {}, {} keys removed", tenant.name.str(), describe(*found->second),
                describe(tenant), count_missing(found->second->keys, tenant.keys)));
        }
        old.erase(found);
    }
    for (const auto& [name, tenant] : old) {
        report.tenants.push_back(fmt::format("tenant {} removed", name.str()));
    }
}

void difference_finder::compare_services(std::span<const service_spec> desired,
                                         diff_report& report) const
{
    for (const auto& service : desired) {
        const auto old = state_.find(service.name);
        if (!old) {
            report.services.push_back({service.name, "added", {}, std::nullopt});
            continue;
        }
        auto details = compare_service(old->spec, service);
        if (!details.empty() || old->override_in_force) {
            const auto* change = details.empty() ? "same" : "changed";
            report.services.push_back(
                {service.name, change, std::move(details), old->override_in_force});
        }
    }
}

void difference_finder::find_removed(std::span<const service_spec> desired,
                                     diff_report& report) const
{
    for (const auto& [name, service] : state_.services()) {
        if (std::ranges::find(desired, name, &service_spec::name) == desired.end()) {
            report.services.push_back({name, "removed", {}, service->override_in_force});
        }
    }
}

} // namespace savorywheel
