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

} // namespace savorywheel
