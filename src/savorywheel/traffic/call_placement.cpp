#include <savorywheel/http/http_status.hpp>
#include <savorywheel/traffic/call_placement.hpp>

#include <algorithm>
#include <cmath>

namespace savorywheel {

namespace {

work_class class_of(const call_request& call)
{
    return {call.service.str(), call.route, call.request.body.size()};
}

std::uint64_t microseconds_of(duration length)
{
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::abs(length)).count());
}

} // namespace

call_placement::call_placement(load_table& loads, metric_registry& metrics)
    : loads_{loads}, by_work_{metrics.count({"calls_placed", "by", "work"})},
      by_count_{metrics.count({"calls_placed", "by", "count"})}, expected_us_{metrics.count(
                                                                     "run_time_expected_us")},
      actual_us_{metrics.count("run_time_actual_us")}, error_us_{metrics.count("run_time_error_us")}
{
}

expected_work call_placement::expected(const call_request& call) const
{
    return work_.expected(class_of(call));
}

sent_call call_placement::begin(const call_request& call, const node_id& endpoint,
                                monotonic_time now)
{
    const auto load = loads_.load_of(endpoint, now);
    ++(load.reports_work ? by_work_ : by_count_);
    const sent_call sent{now,
                         std::chrono::duration_cast<duration>(expected(call).mean * load.slowness)};
    loads_.begin(endpoint, sent);
    return sent;
}

void call_placement::end(const call_request& call, const node_id& endpoint, const sent_call& sent,
                         const call_response& outcome, monotonic_time now)
{
    loads_.end(endpoint, sent);
    if (outcome.load) {
        loads_.report(endpoint, *outcome.load, now);
    }
    // A failure may be fast, and must not make its backend server look fast.
    if (outcome.result == call_result::answered && is_success(outcome.response.status) &&
        outcome.run_time > std::chrono::microseconds::zero()) {
        // The service time cannot be longer than the whole call, whatever the gate says.
        const auto total = std::chrono::ceil<std::chrono::microseconds>(now - sent.at);
        learn(call, endpoint, sent, std::min(outcome.run_time, total), now);
    }
}

void call_placement::learn(const call_request& call, const node_id& endpoint, const sent_call& sent,
                           duration run_time, monotonic_time now)
{
    if (sent.work > duration::zero()) {
        expected_us_ += microseconds_of(sent.work);
        actual_us_ += microseconds_of(run_time);
        error_us_ += microseconds_of(run_time - sent.work);
    }
    loads_.record_run(endpoint, run_time, expected(call).typical, now - sent.at);
    work_.record(class_of(call), std::chrono::duration_cast<duration>(
                                     run_time / loads_.load_of(endpoint, now).slowness));
}

} // namespace savorywheel
