#include <savorywheel/admin/difference_finder.hpp>
#include <savorywheel/admin/service_comparison.hpp>

#include <fmt/format.h>

#include <algorithm>

namespace savorywheel {

diff_report difference_finder::compare(const mesh_spec& desired) const
{
    diff_report report;
    report.version = state_.version();
    compare_domains(desired.domains, report);
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
