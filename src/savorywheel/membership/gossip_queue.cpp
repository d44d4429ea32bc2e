#include <savorywheel/membership/gossip_queue.hpp>

namespace savorywheel {

namespace {

/** Upper bound for the numbers, the enum values and the length prefixes of six strings. */
constexpr std::size_t fixed_update_bytes = 48;

} // namespace

std::size_t encoded_size_bound(const member_update& update) noexcept
{
    const auto& record = update.record;
    return fixed_update_bytes + record.id.str().size() + record.domain.str().size() +
           record.region.str().size() + record.peer.address.size() + record.service.str().size() +
           record.version.str().size();
}

void gossip_queue::add(const member_update& update)
{
    const auto& id = update.record.id;
    if (const auto found = by_member_.find(id); found != by_member_.end()) {
        by_key_.erase(found->second);
    }
    const key place{0, next_age_--};
    by_key_.emplace(place, update);
    by_member_.insert_or_assign(id, place);
}

std::vector<member_update> gossip_queue::take(std::size_t budget_bytes, std::size_t limit)
{
    std::vector<key> taken;
    std::vector<member_update> updates;
    std::size_t used = 0;
    for (const auto& [place, update] : by_key_) {
        used += encoded_size_bound(update);
        if (used > budget_bytes) {
            break;
        }
        taken.push_back(place);
        updates.push_back(update);
    }
    for (const auto& place : taken) {
        auto node = by_key_.extract(place);
        ++node.key().first;
        if (node.key().first >= limit) {
            by_member_.erase(node.mapped().record.id);
            continue;
        }
        by_member_.at(node.mapped().record.id) = node.key();
        by_key_.insert(std::move(node));
    }
    return updates;
}

} // namespace savorywheel
