#ifndef SAVORYWHEEL_TRAFFIC_QUEUE_RANK_HPP
#define SAVORYWHEEL_TRAFFIC_QUEUE_RANK_HPP

#include <savorywheel/traffic/call_class.hpp>

#include <compare>
#include <cstdint>

namespace savorywheel {

/** @brief Position of a call in the queue; the lowest value starts first. */
struct queue_rank {
    /** @brief Priority of the tenant; 0 is the highest. */
    std::uint32_t tenant_priority{};
    /** @brief Priority of the route; 0 is the highest. */
    std::uint32_t priority{};
    /** @brief True if the tenant has had more than its share; others go first, even late ones. */
    bool beyond_share{};
    call_class placement{call_class::on_time};
    /** @brief Virtual start time among the tenants; see fair_clock. */
    double start_tag{};
    /** @brief Number of the call in the order of arrival. */
    std::uint64_t arrival{};

    auto operator<=>(const queue_rank&) const = default;

    /** @return True if both calls have the same priorities. */
    [[nodiscard]] bool same_priorities(const queue_rank& other) const noexcept
    {
        return tenant_priority == other.tenant_priority && priority == other.priority;
    }
};

} // namespace savorywheel

#endif
