#ifndef SAVORYWHEEL_CONFIG_TENANT_FAULT_HPP
#define SAVORYWHEEL_CONFIG_TENANT_FAULT_HPP

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace savorywheel {

/** @brief Part of a tenant's configuration. */
enum class tenant_part : std::uint8_t { name, key, priority, rate, burst };

/** @brief Fault in the configuration of a tenant; never contains a key. */
struct tenant_fault {
    /** @brief Position of the tenant in the list. */
    std::size_t tenant{};
    tenant_part part{tenant_part::name};
    /** @brief Position of the key in the tenant's list, if the part is a key. */
    std::size_t key{};
    /** @brief Description of the actual input. */
    std::string found;
    /** @brief Description of the valid input. */
    std::string expected;

    [[nodiscard]] friend bool operator==(const tenant_fault&, const tenant_fault&) = default;
};

/** @return Name of the part in the text that operators write, given that of its list of keys. */
[[nodiscard]] std::string place_of(const tenant_fault& fault, std::string_view list_of_keys,
                                   std::string_view rate);

} // namespace savorywheel

#endif
