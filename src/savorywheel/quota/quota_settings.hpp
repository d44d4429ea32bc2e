#ifndef SAVORYWHEEL_QUOTA_QUOTA_SETTINGS_HPP
#define SAVORYWHEEL_QUOTA_QUOTA_SETTINGS_HPP

#include <chrono>
#include <cstdint>

namespace savorywheel {

/** @brief Settings of the quotas of tenants; must be equal at all nodes. */
struct quota_settings {
    /**
     * @brief Number of shards of the tenants, each with its own coordinator.
     *
     * About one for 40 nodes. Nodes that disagree about it give a tenant two buckets.
     */
    std::uint32_t shards{2};
    /** @brief Length of the window in which accepted requests are counted. */
    std::chrono::milliseconds window{5000};
    /** @brief Fraction by which the accepted requests of a window may exceed the limit. */
    double over{0.1};
    /** @brief Number of requests by which a window may exceed the limit besides. */
    double slack{20};
};

} // namespace savorywheel

#endif
