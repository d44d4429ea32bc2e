#include <savorywheel/http/caller_ledger.hpp>

#include <algorithm>

namespace savorywheel {

caller_ledger::caller_ledger(std::size_t max_bytes) noexcept : policy_{max_bytes} {}

std::uint64_t caller_ledger::add(evictable_caller& caller, monotonic_time now)
{
    records_.push_back({next_id_, caller_phase::idle, 0, now});
    slots_.push_back({&caller, 0});
    return next_id_++;
}

void caller_ledger::remove(std::uint64_t id)
{
    const auto index = index_of(id);
    if (index < records_.size()) {
        held_ -= records_[index].held;
        records_.erase(records_.begin() + static_cast<std::ptrdiff_t>(index));
        slots_.erase(slots_.begin() + static_cast<std::ptrdiff_t>(index));
    }
}

bool caller_ledger::hold(std::uint64_t id, std::size_t bytes, memory_need need, monotonic_time now)
{
    auto index = index_of(id);
    if (index == records_.size()) {
        return false;
    }
    const auto before = records_[index].held;
    if (bytes > before) {
        const auto limit = policy_.limit_for(bytes, need);
        while (held_ - before + bytes > limit) {
            const auto missing = held_ - before + bytes - limit;
            const auto victim = policy_.choose_for_memory(records_, id, bytes, need, missing, now);
            if (!victim) {
                return false;
            }
            evict(*victim);
        }
        // Evictions move the records.
        index = index_of(id);
    }
    held_ += bytes - before;
    records_[index].held = bytes;
    return true;
}

bool caller_ledger::make_room(monotonic_time now)
{
    const auto victim = eviction_policy::choose_for_connection(records_, now);
    if (victim) {
        evict(*victim);
    }
    return victim.has_value();
}

void caller_ledger::set_phase(std::uint64_t id, caller_phase phase)
{
    const auto index = index_of(id);
    if (index < records_.size()) {
        records_[index].phase = phase;
    }
}

void caller_ledger::on_transferred(std::uint64_t id, std::size_t bytes, monotonic_time now)
{
    const auto index = index_of(id);
    if (index < records_.size()) {
        slots_[index].transferred += bytes;
        if (slots_[index].transferred >= progress_bytes) {
            on_completed(id, now);
        }
    }
}

void caller_ledger::on_completed(std::uint64_t id, monotonic_time now)
{
    const auto index = index_of(id);
    if (index < records_.size()) {
        slots_[index].transferred = 0;
        records_[index].progressed = now;
    }
}

std::size_t caller_ledger::index_of(std::uint64_t id) const
{
    const auto found = std::ranges::lower_bound(records_, id, {}, &caller_record::id);
    return found != records_.end() && found->id == id
               ? static_cast<std::size_t>(found - records_.begin())
               : records_.size();
}

void caller_ledger::evict(std::uint64_t id)
{
    slots_[index_of(id)].caller->evict();
    // The bytes must be available afterwards, whatever the caller does.
    remove(id);
}

} // namespace savorywheel
