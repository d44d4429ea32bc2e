#ifndef SAVORYWHEEL_NODE_CALLER_METRIC_SOURCE_HPP
#define SAVORYWHEEL_NODE_CALLER_METRIC_SOURCE_HPP

#include <savorywheel/http/async_http_server.hpp>
#include <savorywheel/metrics/metric_source.hpp>

namespace savorywheel {

/** @brief Memory that a node holds for callers. */
class caller_metric_source final : public metric_source {
public:
    /**
     * @param traffic Server for requests; must outlive this object.
     * @param readiness Server for readiness probes; must outlive this object.
     */
    caller_metric_source(const async_http_server& traffic,
                         const async_http_server& readiness) noexcept
        : traffic_{traffic}, readiness_{readiness}
    {
    }

    void collect(metric_registry& registry) override;

private:
    const async_http_server& traffic_;
    const async_http_server& readiness_;
};

} // namespace savorywheel

#endif
