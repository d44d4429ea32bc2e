#include <savorywheel/quota/quota_metrics.hpp>

namespace savorywheel {

quota_metrics::quota_metrics(metric_registry& registry, const clock& time)
    : clock_{time}, decisions_{&registry.count({"quota_decisions", "result", "granted"}),
                               &registry.count({"quota_decisions", "result", "refused"}),
                               &registry.count({"quota_decisions", "result", "unknown"})}
{
}

void quota_metrics::collect(metric_registry& registry)
{
    registry.gauge({"quota_tokens"}) = tokens_.load();
    registry.gauge({"quota_coordinated_shards"}) = coordinated_.load();
    const auto last = last_grant_.load();
    if (last != duration::zero()) {
        const auto age =
            std::chrono::duration_cast<std::chrono::milliseconds>(clock_.since_boot() - last);
        registry.gauge({"quota_grant_age_ms"}) = static_cast<std::uint64_t>(age.count());
    }
}

} // namespace savorywheel
