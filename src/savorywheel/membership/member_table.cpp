#include <savorywheel/membership/member_table.hpp>

#include <xxhash.h>

#include <string>
#include <tuple>

namespace savorywheel {

namespace {

std::uint64_t digest_of(const member_update& update)
{
    const auto text = update.record.id.str() + '/' + std::to_string(update.record.incarnation) +
                      '/' + std::to_string(static_cast<int>(update.status));
    return XXH3_64bits(text.data(), text.size());
}

} // namespace

bool prevails(const member_update& candidate, const member_update& known) noexcept
{
    return std::tuple{candidate.record.incarnation, candidate.status} >
           std::tuple{known.record.incarnation, known.status};
}

bool member_table::merge(const member_update& update, monotonic_time now)
{
    const auto found = entries_.find(update.record.id);
    if (found != entries_.end() && !prevails(update, found->second.update)) {
        return false;
    }
    const auto digest = digest_of(update);
    if (found != entries_.end()) {
        digest_ ^= found->second.digest;
        found->second = {update, now, digest};
    }
    else {
        entries_.emplace(update.record.id, entry{update, now, digest});
    }
    digest_ ^= digest;
    return true;
}

const member_table::entry* member_table::find(const node_id& id) const
{
    const auto found = entries_.find(id);
    return found == entries_.end() ? nullptr : &found->second;
}

std::vector<member_update> member_table::all() const
{
    std::vector<member_update> updates;
    updates.reserve(entries_.size());
    for (const auto& [id, item] : entries_) {
        updates.push_back(item.update);
    }
    return updates;
}

void member_table::forget_dead_before(monotonic_time limit)
{
    std::erase_if(entries_, [this, limit](const auto& item) {
        const auto& [id, known] = item;
        const bool old = known.update.status == member_status::dead && known.changed_at < limit;
        if (old) {
            digest_ ^= known.digest;
        }
        return old;
    });
}

} // namespace savorywheel
