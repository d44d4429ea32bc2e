#ifndef SAVORYWHEEL_ROUTING_TENANT_ENTRY_HPP
#define SAVORYWHEEL_ROUTING_TENANT_ENTRY_HPP

#include <savorywheel/core/names.hpp>

#include <cstdint>

namespace savorywheel {

/** @brief What a proxy needs to know about the tenant of a request. */
struct tenant_entry {
    tenant_name name;
    /** @brief Hash of the name; identifies the tenant in messages about quotas. */
    std::uint64_t id{};
    /** @brief Priority under overload, before that of the route; 0 is the highest. */
    std::uint32_t priority{};
    /** @brief Share of a backend server's time, relative to other tenants of its priority. */
    std::uint32_t weight{1};
    /** @brief Requests per second at all nodes together; zero for no limit. */
    double rate_per_s{};
    /** @brief Requests beyond the rate after a pause. */
    double burst{};
};

} // namespace savorywheel

#endif
