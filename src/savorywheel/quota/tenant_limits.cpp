#include <savorywheel/quota/tenant_limits.hpp>

#include <algorithm>

namespace savorywheel {

tenant_limits::tenant_limits(const quota_settings& settings, std::span<const tenant_entry> tenants)
{
    entries_.reserve(tenants.size());
    for (const auto& tenant : tenants) {
        if (tenant.rate_per_s > 0) {
            entries_.push_back(
                {tenant.id, make_quota_terms(settings, tenant.rate_per_s, tenant.burst)});
        }
    }
    std::ranges::sort(entries_, {}, &entry::tenant);
}

const quota_terms* tenant_limits::find(std::uint64_t tenant) const noexcept
{
    const auto found = std::ranges::lower_bound(entries_, tenant, {}, &entry::tenant);
    return found == entries_.end() || found->tenant != tenant ? nullptr : &found->terms;
}

} // namespace savorywheel
