#ifndef SAVORYWHEEL_ROLLOUT_ROUTE_MONITOR_HPP
#define SAVORYWHEEL_ROLLOUT_ROUTE_MONITOR_HPP

#include <savorywheel/core/names.hpp>
#include <savorywheel/rollout/fault_finding.hpp>
#include <savorywheel/rollout/latency_histogram.hpp>
#include <savorywheel/rollout/sequential_detector.hpp>

#include <cstddef>
#include <set>
#include <span>
#include <string_view>

namespace savorywheel {

/** @brief Results of a group of versions on one route in one period. */
struct route_sample {
    /** @brief Calls, with failures as hits. */
    sample_counts failures;
    /** @brief Latencies of the answered calls. */
    latency_histogram latencies;
    /** @brief Nodes of the backend servers at which calls failed. */
    std::set<node_id> failed_at;
};

/** @brief Compares failures and latencies of the new and the old version on one route. */
class route_monitor {
public:
    route_monitor();

    /**
     * @brief Evaluates the samples of one period.
     * @param old_sample Sample of the versions that lose a share.
     * @param new_sample Sample of the versions that gain a share.
     * @param test_latency False while the new version's backend servers warm up.
     */
    void observe(const route_sample& old_sample, const route_sample& new_sample, bool test_latency);

    /** @brief Compares the latencies of the samples since the last call, as one block. */
    void evaluate_latency();

    /** @brief Evaluates one period after the old version's share has reached zero. */
    void observe_new_only(const route_sample& new_sample);

    /**
     * @brief Returns the strongest evidence against the new version.
     * @param route Path of the route, for the description.
     * @param new_servers Backend servers of the new version. With two or more, failures count only
     * if they occur at two of them, so that the loss of one VM is not attributed to the version.
     */
    [[nodiscard]] fault_finding finding(std::string_view route, std::size_t new_servers) const;

private:
    [[nodiscard]] std::size_t slow_bucket() const noexcept;
    void accumulate_counts(const route_sample& old_sample, const route_sample& new_sample);

    sequential_detector failures_;
    sequential_detector slowness_;
    latency_histogram old_latencies_;
    latency_histogram old_block_;
    latency_histogram new_block_;
    std::size_t slow_threshold_bucket_{};
    std::set<node_id> failed_at_;
    sample_counts old_counts_;
    sample_counts new_counts_;
};

} // namespace savorywheel

#endif
