#ifndef SAVORYWHEEL_CONFIG_TENANT_SPEC_HPP
#define SAVORYWHEEL_CONFIG_TENANT_SPEC_HPP

#include <savorywheel/config/key_digest.hpp>
#include <savorywheel/core/names.hpp>

#include <cstdint>
#include <vector>

namespace savorywheel {

/** @brief Configuration of a tenant. */
struct tenant_spec {
    tenant_name name;
    /** @brief Digests of the API keys of its callers. */
    std::vector<key_digest> keys;
    /** @brief Priority under overload, before that of the route; 0 is the highest. */
    std::uint32_t priority{};
    /** @brief Requests per second that it may make at all nodes together; zero for no limit. */
    double rate_per_s{};
    /** @brief Requests that it may make beyond the rate after a pause; ignored without a rate. */
    double burst{};

    [[nodiscard]] friend bool operator==(const tenant_spec&, const tenant_spec&) = default;
};

} // namespace savorywheel

#endif
