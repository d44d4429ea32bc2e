#include <savorywheel/config/mesh_validator.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <numeric>
#include <set>

namespace savorywheel {

namespace {

using service_index = std::map<service_name, std::size_t>;

/** Depth-first search for a cycle of dependencies; states grow from absent to open to closed. */
class cycle_search {
public:
    cycle_search(const mesh_spec& spec, const service_index& index) : spec_{spec}, index_{index} {}

    /** Returns the path of a cycle through the service, or an empty text. */
    std::string visit(std::size_t position)
    {
        if (closed_.contains(position)) {
            return {};
        }
        if (!open_.insert(position).second) {
            return spec_.services[position].name.str();
        }
        for (const auto& dependency : spec_.services[position].depends_on) {
            const auto found = index_.find(dependency);
            if (found == index_.end()) {
                continue;
            }
            if (auto path = visit(found->second); !path.empty()) {
                return spec_.services[position].name.str() + " -> " + path;
            }
        }
        open_.erase(position);
        closed_.insert(position);
        return {};
    }

private:
    const mesh_spec& spec_;
    const service_index& index_;
    std::set<std::size_t> open_;
    std::set<std::size_t> closed_;
};

void check_domains(const mesh_spec& spec, const place_index& places, findings& report)
{
    std::set<failure_domain> seen;
    for (std::size_t i = 0; i < spec.domains.size(); ++i) {
        const auto path = fmt::format("failure_domains/{}", i);
        if (!seen.insert(spec.domains[i].name).second) {
            report.add(places.find(path),
                       fmt::format("failure domain {} twice", spec.domains[i].name.str()),
                       "each failure domain once");
        }
    }
}

service_index index_services(const mesh_spec& spec, const place_index& places, findings& report)
{
    service_index index;
    for (std::size_t i = 0; i < spec.services.size(); ++i) {
        if (!index.emplace(spec.services[i].name, i).second) {
            report.add(places.find(fmt::format("services/{}", i)),
                       fmt::format("service {} twice", spec.services[i].name.str()),
                       "each service once");
        }
    }
    return index;
}

void check_dependencies(const mesh_spec& spec, const service_index& index,
                        const place_index& places, findings& report)
{
    for (std::size_t i = 0; i < spec.services.size(); ++i) {
        const auto& service = spec.services[i];
        for (std::size_t d = 0; d < service.depends_on.size(); ++d) {
            if (!index.contains(service.depends_on[d])) {
                report.add(places.find(fmt::format("services/{}/depends_on/{}", i, d)),
                           fmt::format("unknown service {}", service.depends_on[d].str()),
                           "the name of a service in this text");
            }
        }
    }
}

void check_cycles(const mesh_spec& spec, const service_index& index, const place_index& places,
                  findings& report)
{
    cycle_search search{spec, index};
    for (std::size_t i = 0; i < spec.services.size(); ++i) {
        if (auto path = search.visit(i); !path.empty()) {
            report.add(places.find(fmt::format("services/{}/depends_on", i)),
                       fmt::format("dependency cycle {}", path), "dependencies without a cycle");
            return;
        }
    }
}

void check_route(const service_spec& service, const route_spec& route, const std::string& path,
                 const place_index& places, findings& report)
{
    if (!route.path.starts_with('/')) {
        report.add(places.find(path + "/path"), fmt::format("path \"{}\"", route.path),
                   "a path that starts with /");
    }
    if (route.deadline.count() <= 0) {
        report.add(places.find(path + "/deadline_ms"),
                   fmt::format("deadline of {} ms", route.deadline.count()),
                   "a positive number of milliseconds");
    }
    for (std::size_t c = 0; c < route.calls.size(); ++c) {
        if (std::ranges::find(service.depends_on, route.calls[c]) == service.depends_on.end()) {
            report.add(places.find(fmt::format("{}/calls/{}", path, c)),
                       fmt::format("a call to {}", route.calls[c].str()),
                       fmt::format("a service that {} depends on", service.name.str()));
        }
    }
}

void check_routes(const mesh_spec& spec, const place_index& places, findings& report)
{
    for (std::size_t i = 0; i < spec.services.size(); ++i) {
        const auto& service = spec.services[i];
        if (service.routes.empty()) {
            report.add(places.find(fmt::format("services/{}", i)),
                       fmt::format("service {} without routes", service.name.str()),
                       "at least one route");
        }
        std::set<std::string> paths;
        for (std::size_t r = 0; r < service.routes.size(); ++r) {
            const auto path = fmt::format("services/{}/routes/{}", i, r);
            check_route(service, service.routes[r], path, places, report);
            if (!paths.insert(service.routes[r].path).second) {
                report.add(places.find(path), fmt::format("route {} twice", service.routes[r].path),
                           "each path once in a service");
            }
        }
    }
}

void check_target(const service_spec& service, const std::string& path, const place_index& places,
                  calendar_time now, findings& report)
{
    const auto& weights = service.target.weights;
    const auto sum = std::accumulate(
        weights.begin(), weights.end(), std::uint64_t{0},
        [](std::uint64_t total, const version_weight& item) { return total + item.permille; });
    if (sum != weight_sum_permille) {
        report.add(places.find(path + "/versions"),
                   fmt::format("weights that add up to {} %", static_cast<double>(sum) / 10.0),
                   "weights that add up to 100 %");
    }
    std::set<version_name> names;
    for (std::size_t v = 0; v < weights.size(); ++v) {
        if (!names.insert(weights[v].version).second) {
            report.add(places.find(fmt::format("{}/versions/{}", path, v)),
                       fmt::format("version {} twice", weights[v].version.str()),
                       "each version once in a service");
        }
    }
    if (service.target.due && *service.target.due <= now) {
        report.add(places.find(path + "/by"), "a deadline in the past", "a time still to come");
    }
}

} // namespace

void mesh_validator::check(const mesh_spec& spec, findings& report) const
{
    check_domains(spec, places_, report);
    const auto index = index_services(spec, places_, report);
    check_dependencies(spec, index, places_, report);
    check_cycles(spec, index, places_, report);
    check_routes(spec, places_, report);
    for (std::size_t i = 0; i < spec.services.size(); ++i) {
        check_target(spec.services[i], fmt::format("services/{}", i), places_, now_, report);
    }
}

} // namespace savorywheel
