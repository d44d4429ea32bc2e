#include <savorywheel/config/cycle_finder.hpp>
#include <savorywheel/config/mesh_validator.hpp>
#include <savorywheel/config/name_rules.hpp>
#include <savorywheel/config/service_validator.hpp>
#include <savorywheel/config/tenant_rules.hpp>

#include <fmt/format.h>

#include <map>
#include <set>
#include <string>
#include <utility>

namespace savorywheel {

namespace {

using service_index = std::map<service_name, std::size_t>;

void check_domains(const mesh_spec& spec, const position_index& positions, findings& report)
{
    std::set<failure_domain> seen;
    for (std::size_t i = 0; i < spec.domains.size(); ++i) {
        const auto& [name, region] = spec.domains[i];
        const auto path = fmt::format("failure_domains/{}", i);
        if (!name.empty() && !is_key_segment(name.str())) {
            report.add(positions.find(path + "/name"),
                       fmt::format("failure domain \"{}\"", name.str()),
                       std::string{key_segment_rule});
        }
        if (!region.empty() && !is_key_segment(region.str())) {
            report.add(positions.find(path + "/region"), fmt::format("region \"{}\"", region.str()),
                       std::string{key_segment_rule});
        }
        if (!seen.insert(name).second) {
            report.add(positions.find(path), fmt::format("failure domain {} twice", name.str()),
                       "each failure domain once");
        }
    }
}

void check_tenants(const mesh_spec& spec, const position_index& positions, findings& report)
{
    tenant_rules rules;
    rules.check(spec.tenants);
    for (const auto& fault : rules.faults()) {
        report.add(positions.find(place_of(fault, "keys", "rate_per_s")), fault.found,
                   fault.expected);
    }
}

service_index index_services(const mesh_spec& spec, const position_index& positions,
                             findings& report)
{
    service_index index;
    for (std::size_t i = 0; i < spec.services.size(); ++i) {
        const auto& name = spec.services[i].name;
        const auto path = fmt::format("services/{}/name", i);
        if (!name.empty() && !is_host_label(name.str())) {
            report.add(positions.find(path), fmt::format("service \"{}\"", name.str()),
                       std::string{host_label_rule});
        }
        if (!index.emplace(name, i).second) {
            report.add(positions.find(path), fmt::format("service {} twice", name.str()),
                       "each service once");
        }
    }
    return index;
}

/** Reports invalid dependencies and returns the graph of the valid ones. */
std::vector<cycle_finder::edges> check_dependencies(const mesh_spec& spec,
                                                    const service_index& index,
                                                    const position_index& positions,
                                                    findings& report)
{
    std::vector<cycle_finder::edges> graph(spec.services.size());
    for (std::size_t i = 0; i < spec.services.size(); ++i) {
        std::set<service_name> seen;
        const auto& dependencies = spec.services[i].depends_on;
        for (std::size_t d = 0; d < dependencies.size(); ++d) {
            const auto position = positions.find(fmt::format("services/{}/depends_on/{}", i, d));
            const auto& name = dependencies[d].str();
            if (!seen.insert(dependencies[d]).second) {
                report.add(position, fmt::format("dependency {} twice", name),
                           "each dependency once");
            }
            else if (const auto target = index.find(dependencies[d]); target == index.end()) {
                report.add(position, fmt::format("unknown service {}", name),
                           "the name of a service in this text");
            }
            else {
                graph[i].push_back(target->second);
            }
        }
    }
    return graph;
}

void report_cycle(const mesh_spec& spec, const cycle_finder::cycle& cycle,
                  const position_index& positions, findings& report)
{
    std::string path;
    for (const auto position : cycle) {
        path += spec.services[position].name.str() + " -> ";
    }
    report.add(positions.find(fmt::format("services/{}/depends_on", cycle.back())),
               fmt::format("dependency cycle {}{}", path, spec.services[cycle.front()].name.str()),
               "dependencies without a cycle");
}

bool target_already_accepted(const mesh_state* accepted, const service_spec& service)
{
    const auto found = accepted == nullptr ? nullptr : accepted->find(service.name);
    return found != nullptr && found->spec.target == service.target;
}

} // namespace

void mesh_validator::check(const mesh_spec& spec, findings& report) const
{
    check_domains(spec, positions_, report);
    check_tenants(spec, positions_, report);
    const auto index = index_services(spec, positions_, report);
    const auto graph = check_dependencies(spec, index, positions_, report);
    for (const auto& cycle : cycle_finder{graph}.find()) {
        report_cycle(spec, cycle, positions_, report);
    }
    for (std::size_t i = 0; i < spec.services.size(); ++i) {
        check_service(spec.services[i], i, report);
    }
}

void mesh_validator::check_service(const service_spec& service, std::size_t position,
                                   findings& report) const
{
    const service_validator validator{service, fmt::format("services/{}", position), positions_,
                                      report};
    validator.check_routes();
    validator.check_versions();
    if (!target_already_accepted(accepted_, service)) {
        validator.check_due_time(now_);
    }
}

} // namespace savorywheel
