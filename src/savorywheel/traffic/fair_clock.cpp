#include <savorywheel/traffic/fair_clock.hpp>

#include <algorithm>

namespace savorywheel {

namespace {

/** Calls of unknown work still take turns among tenants. */
constexpr std::chrono::milliseconds min_work{1};
/**
 * Work that a tenant may be ahead of its share without being ordered after others. The calls of a
 * small tenant come seldom and sometimes two at once; without this, the second one would wait for
 * the share of a tenant that sends a call every few seconds.
 */
constexpr std::chrono::milliseconds burst_work{1000};

double length_of(duration work, std::uint32_t weight)
{
    const auto counted = std::max<duration>(work, min_work);
    return static_cast<double>(counted.count()) / std::max(weight, 1U);
}

} // namespace

double fair_clock::start_tag(const tenant_name& tenant, std::uint32_t weight) const
{
    const auto found = tenants_.find(tenant);
    return found == tenants_.end()
               ? virtual_time_
               : std::max(virtual_time_, found->second.finish_tag - length_of(burst_work, weight));
}

void fair_clock::add(const tenant_name& tenant, duration work, std::uint32_t weight)
{
    const auto found = tenants_.find(tenant);
    const auto start = found == tenants_.end() ? virtual_time_ : found->second.finish_tag;
    set_finish_tag(tenant, start + length_of(work, weight), weight);
}

void fair_clock::take_back(const tenant_name& tenant, duration work, std::uint32_t weight)
{
    const auto found = tenants_.find(tenant);
    if (found != tenants_.end()) {
        set_finish_tag(tenant, found->second.finish_tag - length_of(work, weight), weight);
        remove_past();
    }
}

void fair_clock::advance(duration work)
{
    if (tenants_.empty()) {
        return;
    }
    virtual_time_ += length_of(work, 1) / weights_;
    remove_past();
}

void fair_clock::set_finish_tag(const tenant_name& tenant, double finish_tag, std::uint32_t weight)
{
    auto& item = tenants_[tenant];
    by_finish_tag_.erase({item.finish_tag, tenant});
    weights_ += static_cast<double>(std::max(weight, 1U)) - item.weight;
    item = {finish_tag, std::max(weight, 1U)};
    by_finish_tag_.emplace(finish_tag, tenant);
}

void fair_clock::remove_past()
{
    while (!by_finish_tag_.empty() && by_finish_tag_.begin()->first <= virtual_time_) {
        const auto found = tenants_.find(by_finish_tag_.begin()->second);
        weights_ -= found->second.weight;
        tenants_.erase(found);
        by_finish_tag_.erase(by_finish_tag_.begin());
    }
}

} // namespace savorywheel
