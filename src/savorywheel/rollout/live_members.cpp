#include <savorywheel/rollout/live_members.hpp>

namespace savorywheel {

namespace {

template<typename Condition>
std::vector<node_id> members_where(const member_table& members, Condition condition)
{
    std::vector<node_id> found;
    for (const auto& [id, item] : members.entries()) {
        if (item.update.status != member_status::dead && condition(item.update.record)) {
            found.push_back(id);
        }
    }
    return found;
}

} // namespace

std::vector<node_id> live_members(const member_table& members)
{
    return members_where(members, [](const member_record& /*record*/) { return true; });
}

std::vector<node_id> members_reaching_store(const member_table& members)
{
    auto found =
        members_where(members, [](const member_record& record) { return record.store_reachable; });
    return found.empty() ? live_members(members) : found;
}

} // namespace savorywheel
