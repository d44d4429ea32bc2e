#include <savorywheel/routing/endpoint_cost.hpp>
#include <savorywheel/routing/locality_endpoint_selector.hpp>
#include <savorywheel/routing/work_estimate.hpp>
#include <savorywheel/traffic/service_time_estimate.hpp>

#include <support/placement_simulation.hpp>

#include <algorithm>
#include <cmath>
#include <random>
#include <string>

namespace savorywheel::test {

namespace {

constexpr int domain_count = 6;
constexpr int domains_per_region = 2;
constexpr double long_call_share = 0.01;
constexpr double long_call_factor = 3.0;
const service_name service{"bench"};
const version_name version{"v1"};

duration milliseconds_of(double length)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>{length});
}

failure_domain domain_of(int index)
{
    return failure_domain{"d" + std::to_string(index % domain_count)};
}

region_name region_of(int index)
{
    return region_name{"r" + std::to_string(index % domain_count / domains_per_region)};
}

endpoint_distance distance(const route_endpoint& endpoint, int proxy)
{
    if (endpoint.domain == domain_of(proxy)) {
        return endpoint_distance::same_domain;
    }
    return endpoint.region == region_of(proxy) ? endpoint_distance::same_region
                                               : endpoint_distance::other_region;
}

duration one_way(endpoint_distance length)
{
    switch (length) {
    case endpoint_distance::same_domain:
        return std::chrono::microseconds{200};
    case endpoint_distance::same_region:
        return std::chrono::microseconds{700};
    case endpoint_distance::other_region:
        break;
    }
    return std::chrono::milliseconds{20};
}

} // namespace

struct placement_simulation::proxy {
    proxy(int index, random_source& random, const clock& time)
        : health{time}, selector{domain_of(index), region_of(index), {loads, health, random, time}}
    {
    }

    load_table loads;
    endpoint_health health;
    locality_endpoint_selector selector;
    work_estimate work;
};

struct placement_simulation::server {
    double speed{1.0};
    std::vector<std::size_t> running;
    std::deque<std::size_t> waiting;
    service_time_estimate service_time;
    /** When each slot is free, with all calls that were placed; known to the full knowledge only.
     */
    std::vector<monotonic_time> free_at;
};

struct placement_simulation::placed_call {
    monotonic_time at;
    int proxy{};
    const placement_traffic* kind{};
    /** Service time at a backend server of speed 1. */
    duration work{};
    std::size_t server{};
    sent_call sent;
    monotonic_time started;
    duration run_time{};
    gate_load load;
    duration latency{};
};

struct placement_simulation::event {
    enum class type : std::uint8_t { place, arrive, finish, respond };

    monotonic_time at;
    type what{};
    std::size_t call{};

    /** The queue has its largest element, hence the earliest event, in front. */
    [[nodiscard]] bool operator<(const event& other) const
    {
        return std::tie(other.at, other.call) < std::tie(at, call);
    }
};

placement_simulation::placement_simulation(const placement_scenario& scenario, placement_rule rule,
                                           std::uint64_t seed)
    : scenario_{scenario}, rule_{rule}, random_{seed}
{
    for (int i = 0; i < scenario_.servers; ++i) {
        route_endpoint endpoint;
        endpoint.node = node_id{"n" + std::to_string(i)};
        endpoint.domain = domain_of(i);
        endpoint.region = region_of(i);
        endpoint.version = version;
        endpoint.slots = scenario_.slots;
        endpoints_.push_back(endpoint);
        server backend;
        // Each failure domain has backend servers of each speed.
        backend.speed = scenario_.speeds.at(static_cast<std::size_t>(i / domain_count + i) %
                                            scenario_.speeds.size());
        backend.free_at.resize(scenario_.slots);
        servers_.push_back(std::move(backend));
    }
    for (int i = 0; i < scenario_.proxies; ++i) {
        proxies_.push_back(std::make_unique<proxy>(i, random_, time_));
    }
    generate(seed);
}

placement_simulation::~placement_simulation() = default;

void placement_simulation::generate(std::uint64_t seed)
{
    std::mt19937_64 engine{seed};
    std::uniform_int_distribution<int> any_proxy{0, scenario_.proxies - 1};
    std::bernoulli_distribution is_long{long_call_share};
    const auto sigma = std::sqrt(std::log(1.0 + scenario_.spread * scenario_.spread));
    std::lognormal_distribution<double> length{-sigma * sigma / 2, sigma};
    for (const auto& kind : scenario_.traffic) {
        std::exponential_distribution<double> gap{kind.per_second};
        for (double at = gap(engine); at < scenario_.seconds; at += gap(engine)) {
            placed_call call;
            call.at = monotonic_time{milliseconds_of(at * 1000.0)};
            call.proxy = any_proxy(engine);
            call.kind = &kind;
            call.work = milliseconds_of(kind.mean_ms * length(engine) *
                                        (is_long(engine) ? long_call_factor : 1.0));
            calls_.push_back(call);
        }
    }
    std::ranges::sort(calls_, {}, &placed_call::at);
    for (std::size_t i = 0; i < calls_.size(); ++i) {
        events_.push({calls_[i].at, event::type::place, i});
    }
}

placement_result placement_simulation::run()
{
    while (!events_.empty()) {
        const auto next = events_.top();
        events_.pop();
        time_.advance(next.at - time_.now());
        switch (next.what) {
        case event::type::place:
            place(next.call);
            break;
        case event::type::arrive:
            arrive(next.call);
            break;
        case event::type::finish:
            finish(next.call);
            break;
        case event::type::respond:
            respond(next.call);
            break;
        }
    }
    return result();
}

void placement_simulation::place(std::size_t index)
{
    auto& call = calls_[index];
    call.server = select(call);
    auto& origin = *proxies_[static_cast<std::size_t>(call.proxy)];
    const auto& endpoint = endpoints_[call.server];
    const auto slowness = origin.loads.load_of(endpoint.node, time_.now()).slowness;
    const auto expected = origin.work.expected({service.str(), call.kind->route, 0});
    call.sent = {time_.now(), std::chrono::duration_cast<duration>(expected.mean * slowness)};
    origin.loads.begin(endpoint.node, call.sent);
    auto& target = servers_[call.server];
    call.run_time = std::chrono::duration_cast<duration>(call.work / target.speed);
    const auto arrival = time_.now() + one_way(distance(endpoint, call.proxy));
    const auto slot = std::ranges::min_element(target.free_at);
    *slot = std::max(*slot, arrival) + call.run_time;
    events_.push({arrival, event::type::arrive, index});
}

std::size_t placement_simulation::select(const placed_call& call)
{
    if (rule_ == placement_rule::full_knowledge) {
        return best_by_full_knowledge(call);
    }
    auto& origin = *proxies_[static_cast<std::size_t>(call.proxy)];
    const auto work = origin.work.expected({service.str(), call.kind->route, 0});
    const auto* chosen = origin.selector.select(endpoints_, version, {},
                                                {0, milliseconds_of(call.kind->target_ms), work});
    return static_cast<std::size_t>(chosen - endpoints_.data());
}

/** Selects by the product's cost terms, with the actual wait and service time. */
std::size_t placement_simulation::best_by_full_knowledge(const placed_call& call)
{
    std::size_t best = 0;
    auto lowest = duration::max();
    for (std::size_t i = 0; i < servers_.size(); ++i) {
        const auto length = distance(endpoints_[i], call.proxy);
        const auto arrival = time_.now() + one_way(length);
        const auto start = std::max(arrival, *std::ranges::min_element(servers_[i].free_at));
        const auto run_time = std::chrono::duration_cast<duration>(call.work / servers_[i].speed);
        const auto latency = start + run_time + one_way(length) - time_.now();
        // Of the cost of a call without work, the prices of the distance remain.
        auto cost = latency + endpoint_cost{length, 1}.total() - endpoint_cost{length, 1}.latency();
        if (latency > milliseconds_of(call.kind->target_ms)) {
            cost += std::chrono::milliseconds{600};
        }
        if (cost < lowest) {
            best = i;
            lowest = cost;
        }
    }
    return best;
}

void placement_simulation::arrive(std::size_t index)
{
    auto& target = servers_[calls_[index].server];
    target.waiting.push_back(index);
    start_waiting(target);
}

void placement_simulation::start_waiting(server& target)
{
    while (!target.waiting.empty() && target.running.size() < scenario_.slots) {
        const auto index = target.waiting.front();
        target.waiting.pop_front();
        target.running.push_back(index);
        calls_[index].started = time_.now();
        events_.push({time_.now() + calls_[index].run_time, event::type::finish, index});
    }
}

void placement_simulation::finish(std::size_t index)
{
    auto& call = calls_[index];
    auto& target = servers_[call.server];
    std::erase(target.running, index);
    target.service_time.record(call.run_time);
    start_waiting(target);
    call.load = {static_cast<std::uint32_t>(target.running.size()),
                 static_cast<std::uint32_t>(target.waiting.size()),
                 std::chrono::duration_cast<std::chrono::microseconds>(target.service_time.mean())};
    if (rule_ == placement_rule::work) {
        call.load.work = remaining_work(target);
    }
    events_.push({time_.now() + one_way(distance(endpoints_[call.server], call.proxy)),
                  event::type::respond, index});
}

/** What a gate that has learned the mean service time of each route would report. */
std::chrono::microseconds placement_simulation::remaining_work(const server& target) const
{
    constexpr int least_divisor = 4;
    duration sum{};
    const auto expected = [&target](const placed_call& call) {
        return milliseconds_of(call.kind->mean_ms / target.speed);
    };
    for (const auto index : target.running) {
        const auto whole = expected(calls_[index]);
        sum += std::max(whole - (time_.now() - calls_[index].started), whole / least_divisor);
    }
    for (const auto index : target.waiting) {
        sum += expected(calls_[index]);
    }
    return std::chrono::duration_cast<std::chrono::microseconds>(sum);
}

void placement_simulation::respond(std::size_t index)
{
    auto& call = calls_[index];
    auto& origin = *proxies_[static_cast<std::size_t>(call.proxy)];
    const auto& node = endpoints_[call.server].node;
    call.latency = time_.now() - call.at;
    origin.loads.end(node, call.sent);
    origin.loads.report(node, call.load, time_.now());
    if (rule_ == placement_rule::work) {
        const work_class known{service.str(), call.kind->route, 0};
        const auto slowness = origin.loads.load_of(node, time_.now()).slowness;
        origin.loads.record_run(node, call.run_time, origin.work.expected(known).typical,
                                call.latency);
        origin.work.record(known, std::chrono::duration_cast<duration>(call.run_time / slowness));
    }
}

placement_result placement_simulation::result() const
{
    constexpr double quantile = 0.99;
    std::vector<double> latencies;
    double in_time = 0.0;
    double sum = 0.0;
    const monotonic_time start{milliseconds_of(scenario_.measured_from * 1000.0)};
    for (const auto& call : calls_) {
        if (call.at >= start) {
            const std::chrono::duration<double, std::milli> latency = call.latency;
            latencies.push_back(latency.count());
            sum += latency.count();
            in_time += latency.count() <= call.kind->target_ms ? 1.0 : 0.0;
        }
    }
    std::ranges::sort(latencies);
    const auto count = static_cast<double>(latencies.size());
    return {sum / count, latencies[static_cast<std::size_t>(count * quantile)], in_time / count};
}

} // namespace savorywheel::test
