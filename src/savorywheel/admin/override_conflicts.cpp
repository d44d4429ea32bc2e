#include <savorywheel/admin/override_conflicts.hpp>
#include <savorywheel/admin/override_planner.hpp>

#include <fmt/format.h>

#include <algorithm>

namespace savorywheel {

namespace {

bool newer_than_base(const manual_override& item,
                     std::optional<config_version> base_version) noexcept
{
    return base_version.value_or(config_version{}) < item.version;
}

void check_shares(const service_state& old, const service_spec& desired, text_position position,
                  std::optional<config_version> base_version, findings& report)
{
    const auto& item = old.override_in_force;
    if (item && newer_than_base(*item, base_version) && old.spec.target != desired.target) {
        report.add(position, fmt::format("new weights for {}", desired.name.str()),
                   fmt::format("an edit made after version {}: {}", item->version.number,
                               describe_override(desired.name, *item)));
    }
}

} // namespace

void find_override_conflicts(const mesh_state& state, const mesh_spec& desired,
                             std::optional<config_version> base_version,
                             const position_index& positions, findings& report)
{
    for (std::size_t i = 0; i < desired.services.size(); ++i) {
        if (const auto old = state.find(desired.services[i].name)) {
            const auto position = positions.find(fmt::format("services/{}/versions", i));
            check_shares(*old, desired.services[i], position, base_version, report);
        }
    }
    for (const auto& [name, service] : state.services()) {
        const bool kept = std::ranges::find(desired.services, name, &service_spec::name) !=
                          desired.services.end();
        if (!kept && service->override_in_force) {
            report.add({}, fmt::format("no service {}", name.str()),
                       fmt::format("the service, until its override is released: {}",
                                   describe_override(name, *service->override_in_force)));
        }
    }
}

} // namespace savorywheel
