#include <savorywheel/rollout/evidence_recorder.hpp>

#include <algorithm>
#include <utility>

namespace savorywheel {

namespace {

constexpr int first_server_error = 500;

bool failed(const call_observation& observation) noexcept
{
    return observation.result == call_result::unknown || observation.status >= first_server_error;
}

} // namespace

void evidence_recorder::set_monitored_services(std::set<service_name> services)
{
    const std::scoped_lock lock{mutex_};
    monitored_ = std::move(services);
}

std::vector<route_evidence> evidence_recorder::drain()
{
    const std::scoped_lock lock{mutex_};
    return table_.extract_all();
}

void evidence_recorder::on_attempt(const call_observation& observation)
{
    if (observation.result == call_result::not_run) {
        return;
    }
    const std::scoped_lock lock{mutex_};
    if (!monitored_.contains(observation.service)) {
        return;
    }
    auto& item = table_.entry(observation.service, observation.version, observation.route,
                              observation.region != region_);
    ++item.calls;
    item.latencies.record(observation.latency);
    if (failed(observation)) {
        ++item.failures;
        if (std::ranges::find(item.failed_at, observation.node) == item.failed_at.end()) {
            item.failed_at.push_back(observation.node);
        }
    }
}

} // namespace savorywheel
