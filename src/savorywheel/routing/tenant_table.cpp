#include <savorywheel/routing/tenant_table.hpp>

#include <xxhash.h>

#include <algorithm>
#include <bit>
#include <cmath>
#include <cstring>

namespace savorywheel {

namespace {

constexpr double max_weight = 1e9;

std::uint32_t weight_of(const tenant_spec& tenant)
{
    return static_cast<std::uint32_t>(std::clamp(std::ceil(tenant.rate_per_s), 1.0, max_weight));
}

/** Compares in a time that does not depend on where the digests differ. */
bool equal_in_constant_time(const key_digest& left, const key_digest& right) noexcept
{
    unsigned difference = 0;
    for (std::size_t i = 0; i < left.bytes.size(); ++i) {
        difference |= static_cast<unsigned>(left.bytes[i] ^ right.bytes[i]);
    }
    return difference == 0;
}

} // namespace

tenant_table::tenant_table(std::span<const tenant_spec> tenants)
{
    std::size_t keys = 0;
    entries_.reserve(tenants.size());
    for (const auto& tenant : tenants) {
        const auto& name = tenant.name.str();
        entries_.push_back({tenant.name, XXH3_64bits(name.data(), name.size()), tenant.priority,
                            weight_of(tenant), tenant.rate_per_s, tenant.burst});
        keys += tenant.keys.size();
    }
    slots_.resize(std::bit_ceil(2 * keys + 1));
    std::uint32_t position = 0;
    for (const auto& tenant : tenants) {
        ++position;
        for (const auto& digest : tenant.keys) {
            insert(digest, position);
        }
    }
}

const tenant_entry* tenant_table::find(std::string_view key) const noexcept
{
    if (slots_.empty()) {
        return nullptr;
    }
    const auto digest = digest_of_key(key);
    for (auto i = first_slot(digest); slots_[i].tenant != 0; i = (i + 1) % slots_.size()) {
        if (equal_in_constant_time(slots_[i].digest, digest)) {
            return &entries_[slots_[i].tenant - 1];
        }
    }
    return nullptr;
}

std::size_t tenant_table::first_slot(const key_digest& digest) const noexcept
{
    std::uint64_t prefix{};
    std::memcpy(&prefix, digest.bytes.data(), sizeof(prefix));
    return static_cast<std::size_t>(prefix) & (slots_.size() - 1);
}

void tenant_table::insert(const key_digest& digest, std::uint32_t tenant)
{
    auto i = first_slot(digest);
    while (slots_[i].tenant != 0) {
        i = (i + 1) % slots_.size();
    }
    slots_[i] = {digest, tenant};
}

} // namespace savorywheel
