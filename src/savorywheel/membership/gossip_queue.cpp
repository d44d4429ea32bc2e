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
    const key position{0, next_order_--};
    by_key_.emplace(position, update);
    by_member_.insert_or_assign(id, position);
}

std::vector<member_update> gossip_queue::next_batch(std::size_t budget_bytes,
                                                    std::size_t max_transmissions)
{
    std::vector<key> sent;
    std::vector<member_update> updates;
    std::size_t used = 0;
    for (const auto& [position, update] : by_key_) {
        used += encoded_size_bound(update);
        if (used > budget_bytes) {
            break;
        }
        sent.push_back(position);
        updates.push_back(update);
    }
    for (const auto& position : sent) {
        auto node = by_key_.extract(position);
        ++node.key().first;
        if (node.key().first >= max_transmissions) {
            by_member_.erase(node.mapped().record.id);
            continue;
        }
        by_member_.at(node.mapped().record.id) = node.key();
        by_key_.insert(std::move(node));
    }
    return updates;
}

} // namespace savorywheel
