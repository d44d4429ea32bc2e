#include <savorywheel/membership/member_table.hpp>

#include <xxhash.h>

#include <string>
#include <tuple>

namespace savorywheel {

namespace {

std::uint64_t digest_of(const member_update& update)
{
    if (update.status == member_status::dead) {
        return 0;
    }
    const auto text = update.record.id.str() + '/' + std::to_string(update.record.incarnation) +
                      '/' + std::to_string(static_cast<int>(update.status));
    return XXH3_64bits(text.data(), text.size());
}

std::size_t bucket_of(const node_id& id)
{
    return XXH3_64bits(id.str().data(), id.str().size()) % member_bucket_count;
}

} // namespace

bool supersedes(const member_update& candidate, const member_update& known) noexcept
{
    return std::tuple{candidate.record.incarnation, candidate.status} >
           std::tuple{known.record.incarnation, known.status};
}

bool member_table::merge(const member_update& update, monotonic_time changed_at)
{
    const auto found = entries_.find(update.record.id);
    if (found != entries_.end()) {
        auto& item = found->second;
        if (!supersedes(update, item.update)) {
            return false;
        }
        remove_from_indexes(item);
        item.update = update;
        item.changed_at = changed_at;
        add_to_indexes(item);
        return true;
    }
    auto& item = entries_.emplace(update.record.id, entry{update, changed_at}).first->second;
    item.bucket = bucket_of(update.record.id);
    add_to_indexes(item);
    return true;
}

const member_table::entry* member_table::find(const node_id& id) const
{
    const auto found = entries_.find(id);
    return found == entries_.end() ? nullptr : &found->second;
}

const member_table::entry* member_table::next_dead(const node_id& after) const
{
    if (dead_.empty()) {
        return nullptr;
    }
    const auto next = dead_.upper_bound(after);
    return find(next == dead_.end() ? *dead_.begin() : *next);
}

const member_group* member_table::group(const service_name& service) const
{
    const auto found = groups_.find(service);
    return found == groups_.end() ? nullptr : &found->second;
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

std::vector<member_update> member_table::updates_in_buckets(std::span<const std::uint16_t> buckets,
                                                            monotonic_time since) const
{
    std::array<bool, member_bucket_count> selected{};
    for (const auto bucket : buckets) {
        if (bucket < selected.size()) {
            selected.at(bucket) = true;
        }
    }
    std::vector<member_update> updates;
    for (const auto& [id, item] : entries_) {
        const bool expired = item.update.status == member_status::dead && item.changed_at < since;
        if (selected.at(item.bucket) && !expired) {
            updates.push_back(item.update);
        }
    }
    return updates;
}

void member_table::erase_dead_before(monotonic_time limit)
{
    std::erase_if(dead_, [this, limit](const auto& id) {
        const auto found = entries_.find(id);
        const bool expired = found->second.changed_at < limit;
        if (expired) {
            entries_.erase(found);
        }
        return expired;
    });
}

void member_table::add_to_indexes(entry& item)
{
    item.digest = digest_of(item.update);
    digest_ ^= item.digest;
    buckets_.at(item.bucket) ^= item.digest;
    const auto& record = item.update.record;
    if (item.update.status == member_status::suspect) {
        suspects_.insert(record.id);
    }
    if (item.update.status == member_status::dead) {
        dead_.insert(record.id);
        return;
    }
    item.live_index = live_.size();
    live_.push_back(&item);
    if (!record.service.empty()) {
        auto& members = groups_[record.service];
        ++members.revision;
        members.records.emplace(record.id, &record);
    }
}

void member_table::remove_from_indexes(entry& item)
{
    digest_ ^= item.digest;
    buckets_.at(item.bucket) ^= item.digest;
    const auto& record = item.update.record;
    suspects_.erase(record.id);
    dead_.erase(record.id);
    if (item.update.status == member_status::dead) {
        return;
    }
    const auto* last = live_.back();
    live_.at(item.live_index) = last;
    entries_.at(last->update.record.id).live_index = item.live_index;
    live_.pop_back();
    if (const auto found = groups_.find(record.service); found != groups_.end()) {
        ++found->second.revision;
        found->second.records.erase(record.id);
    }
}

} // namespace savorywheel
