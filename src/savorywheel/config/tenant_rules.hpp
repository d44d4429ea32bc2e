#ifndef SAVORYWHEEL_CONFIG_TENANT_RULES_HPP
#define SAVORYWHEEL_CONFIG_TENANT_RULES_HPP

#include <savorywheel/config/tenant_fault.hpp>
#include <savorywheel/config/tenant_spec.hpp>

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace savorywheel {

/** @brief Maximum of a tenant's rate and burst. */
inline constexpr double max_tenant_rate = 1e9;

/** @brief Description of a valid API key, for error messages. */
inline constexpr std::string_view api_key_rule =
    "a text of the characters of a header value, without spaces around it";

/**
 * @brief Decides which tenants a configuration may contain.
 *
 * Keys are checked while a front end reads them, as afterwards only their digests are known; the
 * tenants as a whole are checked when all have been read.
 */
class tenant_rules {
public:
    /**
     * @brief Adds a key to the tenant that is read, or records a fault.
     * @param tenant Receives the digest.
     * @param key Text of the key; none if the configuration has a value of another type.
     */
    void add_key(tenant_spec& tenant, std::optional<std::string_view> key);

    /** @brief Adds a key of which the text states the digest. */
    void add_digest(tenant_spec& tenant, const key_digest& digest);

    /**
     * @brief Sets the priority of the tenant that is read, or records a fault.
     * @param priority Value in the configuration; none if it is not a whole number of 32 bits.
     */
    void set_priority(tenant_spec& tenant, std::optional<std::uint32_t> priority);

    /** @brief Ends the tenant that is read; what is read next belongs to the next one. */
    void end_tenant() noexcept;

    /** @brief Checks names, rates, bursts and the owners of keys; records all faults. */
    void check(std::span<const tenant_spec> tenants);

    /** @return All faults. */
    [[nodiscard]] std::span<const tenant_fault> faults() const noexcept { return faults_; }

    /**
     * @brief Describes the faults with their places, for a log line.
     * @param list_of_keys Name of the list of keys in the text that operators write.
     * @param rate Name of the rate in that text.
     */
    [[nodiscard]] std::string describe(std::string_view list_of_keys, std::string_view rate) const;

private:
    void check_names(std::span<const tenant_spec> tenants);
    void check_keys(std::span<const tenant_spec> tenants);
    void check_number(std::size_t tenant, tenant_part part, double number);

    /** Position of the tenant that is read. */
    std::size_t tenant_{};
    /** Position of the key that is read next. */
    std::size_t key_{};
    std::vector<tenant_fault> faults_;
};

} // namespace savorywheel

#endif
