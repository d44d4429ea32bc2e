#ifndef SAVORYWHEEL_ROUTING_TENANT_TABLE_HPP
#define SAVORYWHEEL_ROUTING_TENANT_TABLE_HPP

#include <savorywheel/config/tenant_spec.hpp>
#include <savorywheel/routing/tenant_entry.hpp>

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace savorywheel {

/** @brief Finds the tenant of an API key; immutable, so that traffic threads read it unlocked. */
class tenant_table {
public:
    /** @brief Creates a table without tenants: no request needs a key. */
    tenant_table() = default;

    /** @param tenants Tenants, each key of which belongs to one of them only. */
    explicit tenant_table(std::span<const tenant_spec> tenants);

    /** @return True if requests on routes that are not public need no key. */
    [[nodiscard]] bool empty() const noexcept { return entries_.empty(); }

    /** @return All tenants. */
    [[nodiscard]] std::span<const tenant_entry> entries() const noexcept { return entries_; }

    /**
     * @param key API key that a caller sent.
     * @return The tenant that holds the key; nullptr if there is none.
     */
    [[nodiscard]] const tenant_entry* find(std::string_view key) const noexcept;

private:
    struct slot {
        key_digest digest;
        /** Position in entries_ plus one; zero if the slot is free. */
        std::uint32_t tenant{};
    };

    [[nodiscard]] std::size_t first_slot(const key_digest& digest) const noexcept;
    void insert(const key_digest& digest, std::uint32_t tenant);

    std::vector<tenant_entry> entries_;
    /** Open addressing; the number of slots is a power of two, at most half of them are used. */
    std::vector<slot> slots_;
};

} // namespace savorywheel

#endif
