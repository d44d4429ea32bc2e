#include <savorywheel/rollout/monitored_moves.hpp>
#include <savorywheel/rollout/move_shares.hpp>

#include <algorithm>

namespace savorywheel {

namespace {

bool is_monitored(const rollout_move& move, calendar_time now) noexcept
{
    if (move.status == move_status::done && move.ended_at) {
        return now - *move.ended_at < monitoring_after_done;
    }
    return move.status == move_status::in_progress;
}

} // namespace

std::vector<std::shared_ptr<const service_state>> find_monitored_moves(const mesh_state& state,
                                                                       calendar_time now)
{
    std::vector<std::shared_ptr<const service_state>> found;
    for (const auto& [name, service] : state.services()) {
        if (service->move && is_monitored(*service->move, now)) {
            found.push_back(service);
        }
    }
    return found;
}

bool concerns_move(const service_state& service, const route_evidence& item)
{
    const auto& routes = service.spec.routes;
    return service.move &&
           (gains_share(*service.move, item.version) || loses_share(*service.move, item.version)) &&
           std::ranges::find(routes, item.route, &route_spec::path) != routes.end();
}

std::size_t count_new_servers(const member_table& members, const service_state& service)
{
    const auto serves = [&service](const auto& item) {
        const auto& update = item.second.update;
        const auto& record = update.record;
        return update.status != member_status::dead && record.service == service.spec.name &&
               (record.state == server_state::serving || record.state == server_state::warming) &&
               gains_share(*service.move, record.version);
    };
    return static_cast<std::size_t>(std::ranges::count_if(members.entries(), serves));
}

} // namespace savorywheel
