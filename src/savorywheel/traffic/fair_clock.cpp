#include <savorywheel/traffic/fair_clock.hpp>

#include <algorithm>

namespace savorywheel {

namespace {

/** Calls of unknown work still take turns among tenants. */
constexpr std::chrono::milliseconds min_work{1};
/** Tenants whose calls have started are removed in one go; far above the tenants in one queue. */
constexpr std::size_t max_tenants = 256;

double length_of(duration work, std::uint32_t weight)
{
    const auto counted = std::max<duration>(work, min_work);
    return static_cast<double>(counted.count()) / std::max(weight, 1U);
}

} // namespace

double fair_clock::start_tag(const tenant_name& tenant) const
{
    const auto found = finish_tags_.find(tenant);
    return found == finish_tags_.end() ? virtual_time_ : std::max(virtual_time_, found->second);
}

double fair_clock::add(const tenant_name& tenant, duration work, std::uint32_t weight)
{
    const auto start = start_tag(tenant);
    finish_tags_[tenant] = start + length_of(work, weight);
    if (finish_tags_.size() > max_tenants) {
        std::erase_if(finish_tags_,
                      [this](const auto& known) { return known.second <= virtual_time_; });
    }
    return start;
}

void fair_clock::take_back(const tenant_name& tenant, double start_tag, duration work,
                           std::uint32_t weight)
{
    const auto found = finish_tags_.find(tenant);
    // An earlier call of the tenant leaves a gap, since the tags of later ones are in use.
    if (found != finish_tags_.end() && found->second == start_tag + length_of(work, weight)) {
        found->second = start_tag;
    }
}

void fair_clock::advance(double start_tag)
{
    virtual_time_ = std::max(virtual_time_, start_tag);
}

} // namespace savorywheel
