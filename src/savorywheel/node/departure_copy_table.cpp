#include <savorywheel/node/departure_copy_table.hpp>

#include <algorithm>
#include <chrono>

namespace savorywheel {

namespace {

constexpr std::size_t max_owners = 1024;
/** Longer than an announcement may be late, and than most outages of the store. */
constexpr std::chrono::minutes retention{10};

} // namespace

void departure_copy_table::put(const node_id& owner, const backend_departures& departures,
                               monotonic_time now)
{
    std::erase_if(entries_,
                  [now](const auto& item) { return now - item.second.changed_at >= retention; });
    if (entries_.size() >= max_owners && entries_.find(owner) == entries_.end()) {
        entries_.erase(std::ranges::min_element(
            entries_, {}, [](const auto& item) { return item.second.changed_at; }));
    }
    entries_.insert_or_assign(owner, entry{departures, now});
}

const backend_departures* departure_copy_table::find(const node_id& owner, monotonic_time now) const
{
    const auto found = entries_.find(owner);
    const bool valid = found != entries_.end() && now - found->second.changed_at < retention;
    return valid ? &found->second.departures : nullptr;
}

} // namespace savorywheel
