#include <savorywheel/config/mesh_state.hpp>
#include <savorywheel/rollout/local_ejector.hpp>

#include <fmt/format.h>

namespace savorywheel {

void local_ejector::observe(const rollout_view& view, std::size_t monitor_count)
{
    const auto& service = view.service;
    const auto& move = *service.move;
    auto& item = monitored_moves_[service.spec.name];
    if (item.asked_at != move.asked_at || item.started_at != move.started_at) {
        item = {};
        item.asked_at = move.asked_at;
        item.started_at = move.started_at;
    }
    item.monitor.observe(view);
    const auto& finding = item.monitor.strongest();
    if (!item.ejected &&
        finding.score < fault_threshold(move, item.monitor.stratum_count(), monitor_count)) {
        return;
    }
    const auto text = fmt::format("{} {}", service.spec.name.str(), finding.description);
    if (service.override_in_force) {
        if (!item.warned) {
            log_.write(event_id::override_to_faulty_version, text);
        }
        item.warned = true;
    }
    else if (!item.ejected) {
        log_.write(event_id::version_ejected, text);
        item.ejected = true;
    }
}

void local_ejector::add_ejected(const mesh_state& state, version_ejections::move_map& moves) const
{
    for (const auto& [name, item] : monitored_moves_) {
        const auto service = state.find(name);
        if (item.ejected && service && service->move && service->move->asked_at == item.asked_at &&
            service->move->started_at == item.started_at) {
            moves.insert_or_assign(name, item.asked_at);
        }
    }
}

} // namespace savorywheel
