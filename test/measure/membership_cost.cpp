// Benchmark of the membership protocol, run manually: network traffic and dissemination time of a
// simulated mesh in one process, processor time and memory of one agent with a large table. See
// docs/design/distribution.md.
#include <savorywheel/core/seeded_random.hpp>
#include <savorywheel/distribution/relay_candidates.hpp>
#include <savorywheel/encoding/codec.hpp>
#include <savorywheel/membership/replica_selection.hpp>
#include <savorywheel/membership/swim_agent.hpp>
#include <savorywheel/routing/routing_table_builder.hpp>
#include <savorywheel/transport/frame_header.hpp>

#include <fmt/format.h>
#include <malloc.h>
#include <support/manual_clock.hpp>

#include <algorithm>
#include <ctime>
#include <deque>
#include <memory>

namespace savorywheel::test {

namespace {

using std::chrono_literals::operator""ms;

constexpr std::size_t services = 1200;
constexpr std::size_t domains = 10;
constexpr std::size_t regions = 4;

double processor_seconds()
{
    timespec time{};
    ::clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

double allocated_megabytes()
{
    const auto state = ::mallinfo2();
    return static_cast<double>(state.uordblks + state.hblkhd) / 1e6;
}

member_record record_of(std::size_t index)
{
    member_record record;
    record.id = node_id{fmt::format("node-{:05}", index)};
    record.domain = failure_domain{fmt::format("domain-{:02}", index % domains)};
    record.region = region_name{fmt::format("region-{}", index % domains % regions)};
    record.peer = {fmt::format("10.{}.{}.{}", index / 62500, index / 250 % 250, index % 250), 7002};
    record.service = service_name{fmt::format("service-{:04}", index % services)};
    record.version = version_name{"v1"};
    record.state = server_state::serving;
    record.slots = 12;
    record.incarnation = 1;
    return record;
}

struct null_listener final : membership_listener {
    void on_member_changed(const member_update& /*update*/) override {}
    void on_head_received(const network_endpoint& /*peer*/,
                          const configuration_head& /*head*/) override
    {
    }
};

struct mesh {
    struct datagram {
        network_endpoint receiver;
        std::vector<std::byte> bytes;
    };

    explicit mesh(std::size_t count,
                  std::size_t retransmit_factor = membership_settings{}.retransmit_factor)
    {
        membership_settings settings;
        settings.retransmit_factor = retransmit_factor;
        for (std::size_t i = 0; i < count; ++i) {
            const auto record = record_of(i);
            agents.push_back(std::make_unique<swim_agent>(
                record, std::vector{record_of(0).peer, record_of(1).peer}, settings,
                swim_agent::environment{time, timers, random, listener,
                                        [this](const auto& peer, const auto& message) {
                                            network.push_back({peer, encode(message)});
                                        },
                                        [this, i](const auto& peer, const auto& request) {
                                            exchange(i, peer, request);
                                        }}));
            by_peer[record.peer] = agents.back().get();
        }
        for (auto& agent : agents) {
            agent->start();
        }
    }

    void exchange(std::size_t requester, const network_endpoint& peer,
                  const membership_sync_message& request)
    {
        stream_bytes += encode(request).size();
        const auto response = by_peer.at(peer)->answer_sync(request);
        stream_bytes += encode(*response).size();
        if (const auto final_message = agents.at(requester)->finish_sync(*response)) {
            stream_bytes += encode(*final_message).size();
            static_cast<void>(by_peer.at(peer)->answer_sync(*final_message));
        }
        ++exchanges;
    }

    void run_for(std::chrono::milliseconds length, double changes_per_second)
    {
        for (auto elapsed = 0ms; elapsed < length; elapsed += 10ms) {
            time.advance(10ms);
            timers.run_due();
            due += changes_per_second / 100;
            for (; due >= 1; due -= 1) {
                auto& agent = *agents.at(random.below(agents.size()));
                agent.update_self(agent.self());
            }
            auto delivered = std::exchange(network, {});
            for (const auto& item : delivered) {
                ++messages;
                if (random.below(100) < loss_percent) {
                    continue;
                }
                datagram_bytes += item.bytes.size();
                largest = std::max(largest, item.bytes.size());
                by_peer.at(item.receiver)->receive(*decode<membership_message>(item.bytes));
            }
        }
    }

    manual_clock time;
    timer_service timers{time};
    seeded_random random{20261204};
    null_listener listener;
    std::deque<datagram> network;
    std::vector<std::unique_ptr<swim_agent>> agents;
    std::map<network_endpoint, swim_agent*> by_peer;
    unsigned loss_percent{};
    std::size_t messages{};
    std::size_t datagram_bytes{};
    std::size_t stream_bytes{};
    std::size_t exchanges{};
    std::size_t largest{};
    double due{};
};

void measure_mesh(std::size_t count, double changes_per_second)
{
    constexpr int seconds = 60;
    mesh simulation{count};
    simulation.run_for(120'000ms, 0);
    simulation.messages = simulation.datagram_bytes = simulation.stream_bytes =
        simulation.exchanges = 0;
    const auto before = processor_seconds();
    simulation.run_for(std::chrono::seconds{seconds}, changes_per_second);
    const auto processor_time = processor_seconds() - before;
    const auto per_node = [&](double sum) { return sum / static_cast<double>(count) / seconds; };
    fmt::print("mesh of {:5}, {:4} changes/s: {:5.2f} datagrams/s, {:6.0f} B/s sent in datagrams, "
               "{:5.0f} B/s in {:.3f} exchanges/s, {:6.3f} ms/s processor time, largest {} B\n",
               count, changes_per_second, per_node(static_cast<double>(simulation.messages)),
               per_node(static_cast<double>(simulation.datagram_bytes)),
               per_node(static_cast<double>(simulation.stream_bytes)),
               per_node(static_cast<double>(simulation.exchanges)), per_node(processor_time) * 1e3,
               simulation.largest);
}

void measure_dissemination(std::size_t count, std::size_t retransmit_factor, unsigned loss_percent)
{
    constexpr std::size_t trials = 20;
    mesh simulation{count, retransmit_factor};
    simulation.run_for(60'000ms, 0);
    simulation.loss_percent = loss_percent;
    double seconds = 0;
    std::size_t missing = 0;
    for (std::size_t i = 0; i < trials; ++i) {
        auto& agent = *simulation.agents.at(i);
        agent.update_self(agent.self());
        const auto has_update = [&](const auto& other) {
            return other->table().find(agent.self().id)->update.record.incarnation ==
                   agent.self().incarnation;
        };
        auto elapsed = 0ms;
        for (; elapsed < 10'000ms && !std::ranges::all_of(simulation.agents, has_update);
             elapsed += 50ms) {
            simulation.run_for(50ms, 0);
        }
        seconds = std::max(seconds, std::chrono::duration<double>(elapsed).count());
        missing += static_cast<std::size_t>(
            count - static_cast<std::size_t>(std::ranges::count_if(simulation.agents, has_update)));
    }
    fmt::print(
        "mesh of {:4}, retransmit factor {}, {}% loss: slowest of {} changes reached all nodes "
        "in {:.2f} s, {} of {} deliveries missing after 10 s\n",
        count, retransmit_factor, loss_percent, trials, seconds, missing, trials * count);
}

template<typename Function>
double microseconds(std::size_t times, Function function)
{
    const auto before = processor_seconds();
    for (std::size_t i = 0; i < times; ++i) {
        function(i);
    }
    return (processor_seconds() - before) / static_cast<double>(times) * 1e6;
}

/** Measures building the routing table from the members, first and after one member changed. */
void measure_routing(swim_agent& agent)
{
    const auto& table = agent.table();
    std::vector<service_state> states(services);
    for (std::size_t i = 0; i < services; ++i) {
        states[i].spec.name = record_of(i).service;
    }
    routing_table_builder builder;
    builder.set_state(mesh_state{{1}, {}, states});
    const auto first =
        microseconds(1, [&](std::size_t) { static_cast<void>(builder.build(table)); });
    const auto build = microseconds(50, [&](std::size_t i) {
        auto record = record_of(i + 1);
        record.incarnation = 1'000'000 + i;
        membership_message message;
        message.protocol = protocol_version;
        message.kind = membership_kind::ack;
        message.sender = record.id;
        message.sender_peer = record.peer;
        message.updates = {{record, member_status::alive}};
        agent.receive(message);
        static_cast<void>(builder.build(table));
    });
    fmt::print("routing table: first build {:6.0f} us, after one change {:5.0f} us\n", first,
               build);
}

void measure_table(std::size_t count)
{
    manual_clock time;
    timer_service timers{time};
    seeded_random random{1};
    null_listener listener;
    std::size_t sent{};
    swim_agent agent{record_of(0),
                     {},
                     {},
                     swim_agent::environment{
                         time, timers, random, listener,
                         [&](const auto&, const auto& message) { sent += encode(message).size(); },
                         [](const auto&, const auto&) {}}};
    membership_sync_message all;
    for (std::size_t i = 1; i < count; ++i) {
        all.members.push_back({record_of(i), member_status::alive});
    }
    const auto encoded = encode(all);
    const auto before = allocated_megabytes();
    static_cast<void>(agent.finish_sync(*decode<membership_sync_message>(encoded)));
    const auto allocated = allocated_megabytes() - before;
    const auto ping = microseconds(2000, [&](std::size_t i) {
        membership_message message;
        message.protocol = 1;
        message.sender = record_of(i % (count - 1) + 1).id;
        message.sender_peer = record_of(i % (count - 1) + 1).peer;
        auto record = record_of(i * 7 % (count - 1) + 1);
        record.incarnation = i + 2;
        message.updates.push_back({record, member_status::alive});
        agent.receive(*decode<membership_message>(encode(message)));
    });
    const auto& table = agent.table();
    const std::array<std::uint16_t, 4> buckets{1, 2, 3, 4};
    const auto exchange = microseconds(
        50, [&](std::size_t) { static_cast<void>(table.updates_in_buckets(buckets, {})); });
    const auto replicas = microseconds(
        20, [&](std::size_t) { static_cast<void>(select_replicas(record_of(0), table, false)); });
    const auto candidate = microseconds(
        20, [&](std::size_t) { static_cast<void>(is_relay_candidate(record_of(0), table)); });
    fmt::print("table of {:5}: {:5.1f} MB, full sync {:8} B, ping with one change {:6.1f} us, "
               "4 buckets {:6.0f} us, floor replicas {:6.0f} us, relay candidate {:6.0f} us\n",
               count, allocated, encoded.size(), ping, exchange, replicas, candidate);
    measure_routing(agent);
}

} // namespace

} // namespace savorywheel::test

int main()
{
    using namespace savorywheel::test;
    for (const auto count : {50U, 100U, 200U, 400U}) {
        measure_mesh(count, 0);
        measure_mesh(count, 0.5);
    }
    for (const auto factor : {1U, 2U, 3U}) {
        measure_dissemination(400, factor, 0);
        measure_dissemination(400, factor, 5);
    }
    for (const auto count : {100U, 1000U, 5000U, 15000U}) {
        measure_table(count);
    }
}
