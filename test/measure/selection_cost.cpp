// Benchmark of the selection of an endpoint, run manually: processor time of one selection among
// the endpoints of a service, of which each has reported its load. See docs/design/request-cost.md.
#include <savorywheel/core/seeded_random.hpp>
#include <savorywheel/routing/locality_endpoint_selector.hpp>
#include <savorywheel/traffic/call_placement.hpp>

#include <fmt/format.h>
#include <support/manual_clock.hpp>

#include <ctime>
#include <string>
#include <vector>

namespace savorywheel::test {

namespace {

using std::chrono_literals::operator""ms;

constexpr int domains = 6;
constexpr int domains_per_region = 2;
constexpr int nodes_of_other_services = 40;
constexpr int selections = 20'000;

double processor_seconds()
{
    timespec time{};
    ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

route_endpoint make_endpoint(int index)
{
    route_endpoint endpoint;
    endpoint.node = node_id{"savorywheel-node-" + std::to_string(index)};
    endpoint.domain = failure_domain{"domain-" + std::to_string(index % domains)};
    endpoint.region = region_name{"region-" + std::to_string(index % domains / domains_per_region)};
    endpoint.version = version_name{"v1"};
    endpoint.slots = 9;
    return endpoint;
}

/** Prints the processor time of a selection among so many endpoints, with or without work. */
void measure(int count, std::chrono::microseconds work)
{
    manual_clock time;
    seeded_random random{1};
    load_table loads;
    endpoint_health health{time};
    locality_endpoint_selector subject{
        failure_domain{"domain-0"}, region_name{"region-0"}, {loads, health, random, time}};
    std::vector<route_endpoint> endpoints;
    for (int i = 0; i < count + nodes_of_other_services; ++i) {
        const auto endpoint = make_endpoint(i);
        loads.report(endpoint.node, {3, 0, 200ms, work}, time.now());
        health.record_success(endpoint.node);
        if (i < count) {
            endpoints.push_back(endpoint);
        }
    }
    const version_name version{"v1"};
    call_profile call;
    call.bytes = 1000;
    call.target_remaining = 400ms;
    const auto start = processor_seconds();
    for (int i = 0; i < selections; ++i) {
        static_cast<void>(subject.select(endpoints, version, {}, call));
    }
    fmt::print("{} endpoints, {} us of work reported: {:.1f} us for a selection\n", count,
               work.count(), (processor_seconds() - start) / selections * 1e6);
}

/** Prints the processor time for recording a call, from sending it to learning from the response.
 */
void measure_recording()
{
    load_table loads;
    metric_registry metrics;
    call_placement subject{loads, metrics};
    call_request call;
    call.service = service_name{"bench"};
    call.route = "/api/v1/lookup";
    call_response outcome{call_result::answered, call_refusal::none, {}, {200, {}, {}}};
    outcome.run_time = 100ms;
    outcome.load = gate_load{3, 0, 200ms, 300ms};
    const node_id endpoint{"savorywheel-node-1"};
    monotonic_time now;
    const auto start = processor_seconds();
    for (int i = 0; i < selections; ++i) {
        const auto sent = subject.begin(call, endpoint, now);
        now += 101ms;
        subject.end(call, endpoint, sent, outcome, now);
    }
    fmt::print("{:.1f} us for recording a call\n",
               (processor_seconds() - start) / selections * 1e6);
}

} // namespace

} // namespace savorywheel::test

int main()
{
    using savorywheel::test::measure;
    for (const int count : {24, 36, 51}) {
        measure(count, std::chrono::microseconds::zero());
        measure(count, std::chrono::milliseconds{300});
    }
    savorywheel::test::measure_recording();
    return 0;
}
