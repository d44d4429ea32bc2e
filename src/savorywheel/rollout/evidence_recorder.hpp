#ifndef SAVORYWHEEL_ROLLOUT_EVIDENCE_RECORDER_HPP
#define SAVORYWHEEL_ROLLOUT_EVIDENCE_RECORDER_HPP

#include <savorywheel/rollout/evidence_table.hpp>
#include <savorywheel/traffic/call_observer.hpp>

#include <mutex>
#include <set>
#include <utility>
#include <vector>

namespace savorywheel {

/**
 * @brief Accumulates the results of calls to monitored services; thread-safe.
 *
 * Attempts that were not run are ignored. A server error or an unknown outcome counts as a failure.
 */
class evidence_recorder final : public call_observer {
public:
    /** @param region Region of this node. */
    explicit evidence_recorder(region_name region) : region_{std::move(region)} {}

    /** @brief Sets the services for which evidence is recorded. */
    void set_monitored_services(std::set<service_name> services);

    /** @return The evidence recorded since the last call. */
    [[nodiscard]] std::vector<route_evidence> drain();

    void on_attempt(const call_observation& observation) override;

private:
    region_name region_;
    std::mutex mutex_;
    std::set<service_name> monitored_;
    evidence_table table_;
};

} // namespace savorywheel

#endif
