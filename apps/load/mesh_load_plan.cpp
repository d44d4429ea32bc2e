#include <load/mesh_load_plan.hpp>

#include <string>
#include <utility>

namespace savorywheel::load {

namespace {

constexpr std::uint32_t load_connections = 32;
constexpr std::string_view root_path = "/";

} // namespace

load_plan make_mesh_load_plan(const measure_options& options, const bench_mesh& mesh,
                              std::chrono::seconds period)
{
    load_plan plan;
    plan.per_second = options.per_second;
    plan.period = period;
    plan.connections = load_connections;
    plan.alternate_direct = true;
    for (const auto& name : mesh.layout().services) {
        load_target target;
        target.service = service_name{name};
        target.path = std::string{root_path};
        for (const auto& member : mesh.members()) {
            if (member.service == name) {
                target.backends.push_back(member.backend);
            }
        }
        if (!target.backends.empty()) {
            plan.targets.push_back(std::move(target));
        }
    }
    for (const auto& member : mesh.members()) {
        plan.nodes.push_back(member.traffic);
    }
    return plan;
}

} // namespace savorywheel::load
