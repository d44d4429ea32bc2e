#include <savorywheel/admin/override_planner.hpp>
#include <savorywheel/admin/text_conflicts.hpp>

#include <fmt/format.h>

#include <algorithm>

namespace savorywheel {

namespace {

bool unseen(const manual_override& item, std::optional<config_version> seen) noexcept
{
    return seen.value_or(config_version{}) < item.version;
}

void check_shares(const service_state& old, const service_spec& wanted, text_place place,
                  std::optional<config_version> seen, findings& report)
{
    const auto& item = old.override_in_force;
    if (item && unseen(*item, seen) && old.spec.target != wanted.target) {
        report.add(place, fmt::format("new weights for {}", wanted.name.str()),
                   fmt::format("an edit made after version {}: {}", item->version.number,
                               describe_override(wanted.name, *item)));
    }
}

} // namespace

void find_text_conflicts(const mesh_state& state, const mesh_spec& wanted,
                         std::optional<config_version> seen, const place_index& places,
                         findings& report)
{
    for (std::size_t i = 0; i < wanted.services.size(); ++i) {
        if (const auto old = state.find(wanted.services[i].name)) {
            const auto place = places.find(fmt::format("services/{}/versions", i));
            check_shares(*old, wanted.services[i], place, seen, report);
        }
    }
    for (const auto& [name, service] : state.services()) {
        const bool kept =
            std::ranges::find(wanted.services, name, &service_spec::name) != wanted.services.end();
        if (!kept && service->override_in_force) {
            report.add({}, fmt::format("no service {}", name.str()),
                       fmt::format("the service, until its override is released: {}",
                                   describe_override(name, *service->override_in_force)));
        }
    }
}

} // namespace savorywheel
