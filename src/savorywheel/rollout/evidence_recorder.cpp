#include <savorywheel/rollout/evidence_recorder.hpp>

#include <algorithm>
#include <utility>

namespace savorywheel {

namespace {

constexpr int first_server_error = 500;

bool failed(const call_observation& seen) noexcept
{
    return seen.result == call_result::unknown || seen.status >= first_server_error;
}

} // namespace

void evidence_recorder::watch(std::set<service_name> services)
{
    const std::scoped_lock lock{mutex_};
    watched_ = std::move(services);
}

std::vector<route_evidence> evidence_recorder::drain()
{
    const std::scoped_lock lock{mutex_};
    return table_.take_all();
}

void evidence_recorder::on_attempt(const call_observation& seen)
{
    if (seen.result == call_result::not_run) {
        return;
    }
    const std::scoped_lock lock{mutex_};
    if (!watched_.contains(seen.service)) {
        return;
    }
    auto& item = table_.entry(seen.service, seen.version, seen.route, seen.region != region_);
    ++item.calls;
    item.latencies.record(seen.latency);
    if (failed(seen)) {
        ++item.failures;
        if (std::ranges::find(item.failed_at, seen.node) == item.failed_at.end()) {
            item.failed_at.push_back(seen.node);
        }
    }
}

} // namespace savorywheel
