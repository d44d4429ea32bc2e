#ifndef SAVORYWHEEL_QUOTA_QUOTA_METRICS_HPP
#define SAVORYWHEEL_QUOTA_QUOTA_METRICS_HPP

#include <savorywheel/core/clock.hpp>
#include <savorywheel/metrics/metric_registry.hpp>
#include <savorywheel/metrics/metric_source.hpp>
#include <savorywheel/traffic/quota_decision.hpp>

#include <array>
#include <atomic>
#include <cstdint>

namespace savorywheel {

/** @brief Metrics of the quotas of tenants; thread-safe. */
class quota_metrics final : public metric_source {
public:
    /**
     * @param registry Must outlive the object.
     * @param time Clock of the ages; must outlive the object.
     */
    quota_metrics(metric_registry& registry, const clock& time);

    /** @brief Counts a decision about a request. */
    void record(quota_decision::result outcome) noexcept
    {
        ++*decisions_.at(static_cast<std::size_t>(outcome));
    }

    /** @brief Sets the number of tokens at hand. */
    void set_tokens(std::uint64_t tokens) noexcept { tokens_ = tokens; }

    /** @brief Sets the number of shards that this node coordinates. */
    void set_coordinated(std::size_t shards) noexcept { coordinated_ = shards; }

    /** @brief Records the arrival of a grant. */
    void record_grant() noexcept { last_grant_ = clock_.since_boot(); }

    void collect(metric_registry& registry) override;

private:
    const clock& clock_;
    std::array<metric_registry::counter*, 3> decisions_;
    std::atomic<std::uint64_t> tokens_{};
    std::atomic<std::uint64_t> coordinated_{};
    /** Zero before the first grant. */
    std::atomic<duration> last_grant_{};
};

} // namespace savorywheel

#endif
