#include <savorywheel/rollout/live_members.hpp>

namespace savorywheel {

std::vector<node_id> live_members(const member_table& members)
{
    std::vector<node_id> live;
    for (const auto& [id, item] : members.entries()) {
        if (item.update.status != member_status::dead) {
            live.push_back(id);
        }
    }
    return live;
}

std::vector<node_id> members_with_store(const member_table& members)
{
    std::vector<node_id> found;
    for (const auto& [id, item] : members.entries()) {
        if (item.update.status != member_status::dead && item.update.record.store_reachable) {
            found.push_back(id);
        }
    }
    return found.empty() ? live_members(members) : found;
}

} // namespace savorywheel
