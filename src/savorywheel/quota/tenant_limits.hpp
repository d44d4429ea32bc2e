#ifndef SAVORYWHEEL_QUOTA_TENANT_LIMITS_HPP
#define SAVORYWHEEL_QUOTA_TENANT_LIMITS_HPP

#include <savorywheel/quota/quota_terms.hpp>
#include <savorywheel/routing/tenant_entry.hpp>

#include <cstdint>
#include <span>
#include <vector>

namespace savorywheel {

/** @brief Limits of all tenants that have a rate, by identifier; immutable. */
class tenant_limits {
public:
    tenant_limits() = default;

    /** @param tenants Tenants of a configuration. */
    tenant_limits(const quota_settings& settings, std::span<const tenant_entry> tenants);

    /** @return Limits of a tenant; nullptr if it is unknown or has no rate. */
    [[nodiscard]] const quota_terms* find(std::uint64_t tenant) const noexcept;

private:
    struct entry {
        std::uint64_t tenant{};
        quota_terms terms;
    };

    /** In ascending order of the identifiers. */
    std::vector<entry> entries_;
};

} // namespace savorywheel

#endif
