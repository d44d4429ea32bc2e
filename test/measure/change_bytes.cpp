#include <fmt/format.h>
#include <platform/measured_configuration.hpp>
#include <platform/proxied_mesh.hpp>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <string>
#include <thread>
#include <vector>

namespace savorywheel::platform::test {

namespace {

using namespace std::chrono_literals;
using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::system_clock;

constexpr auto settling_time = 12'000ms;
constexpr auto observation_time = 5000ms;

/** What the mesh has sent and received so far. */
struct traffic {
    std::uint64_t store_calls{};
    std::uint64_t store_bytes{};
    std::uint64_t document_bytes{};
    std::uint64_t cross_document_bytes{};
    std::uint64_t datagram_bytes{};
    std::uint64_t cross_datagram_bytes{};
};

traffic read_traffic(const proxied_mesh& mesh)
{
    return {mesh.store().calls(),
            mesh.store().bytes(),
            mesh.sum_of_metric("savorywheel_bytes_received_commit"),
            mesh.sum_of_metric("savorywheel_bytes_received_commit_cross_region"),
            mesh.sum_of_metric("savorywheel_bytes_sent_probe"),
            mesh.sum_of_metric("savorywheel_bytes_sent_probe_cross_region")};
}

void print(const std::string& phase, int nodes, const traffic& before, const traffic& after)
{
    const auto store = after.store_bytes - before.store_bytes;
    const auto documents = after.document_bytes - before.document_bytes;
    const auto cross_documents = after.cross_document_bytes - before.cross_document_bytes;
    const auto datagrams = after.datagram_bytes - before.datagram_bytes;
    const auto cross_datagrams = after.cross_datagram_bytes - before.cross_datagram_bytes;
    // The store is in one of the three regions.
    const auto cross_store = store * 2 / 3;
    fmt::print(
        "{}: {} store calls, {} B from the store, {} B documents from peers, {} B datagrams; "
        "{} B per node; between regions {} B (store {}, documents {}, datagrams {})\n",
        phase, after.store_calls - before.store_calls, store, documents, datagrams,
        (store + documents + datagrams) / static_cast<std::uint64_t>(nodes),
        cross_store + cross_documents + cross_datagrams, cross_store, cross_documents,
        cross_datagrams);
    std::fflush(stdout);
}

void print_delays(const proxied_mesh& mesh, int version, system_clock::time_point acknowledged)
{
    std::vector<long> delays;
    for (int node = 0; node < mesh.node_count(); ++node) {
        if (const auto at = mesh.in_force_at(node, version)) {
            delays.push_back(duration_cast<milliseconds>(*at - acknowledged).count());
        }
    }
    std::ranges::sort(delays);
    if (!delays.empty()) {
        fmt::print("    version {} in force at {} of {} nodes after {} (first), {} (median), {} "
                   "(last) ms\n",
                   version, delays.size(), mesh.node_count(), delays.front(),
                   delays[delays.size() / 2], delays.back());
    }
}

/** Writes versions at equal distances and prints the traffic from the first one on. */
void measure_changes(proxied_mesh& mesh, int first, int count, milliseconds distance)
{
    const auto before = read_traffic(mesh);
    system_clock::time_point acknowledged;
    for (int i = 0; i < count; ++i) {
        mesh.put_configuration(measured_configuration(first + i));
        acknowledged = system_clock::now();
        if (i + 1 < count) {
            std::this_thread::sleep_for(distance);
        }
    }
    std::this_thread::sleep_for(observation_time);
    print(fmt::format("{} change(s)", count), mesh.node_count(), before, read_traffic(mesh));
    print_delays(mesh, first + count - 1, acknowledged);
}

} // namespace

} // namespace savorywheel::platform::test

/** Usage: measure_change_bytes [NODES]; the binary of the node is the one in the build folder. */
int main(int argc, char** argv)
{
    using namespace savorywheel::platform::test;
    const int nodes = argc > 1 ? std::atoi(argv[1]) : 83;
    proxied_mesh mesh{nodes, 154};
    mesh.put_configuration(measured_configuration(6));
    fmt::print("{} nodes, configuration of {} B\n", nodes, measured_configuration(6).dump().size());
    std::this_thread::sleep_for(settling_time);
    const auto before = read_traffic(mesh);
    std::this_thread::sleep_for(observation_time);
    print("5 s without a change", nodes, before, read_traffic(mesh));
    measure_changes(mesh, 7, 1, {});
    std::this_thread::sleep_for(observation_time);
    measure_changes(mesh, 9, 1, {});
    std::this_thread::sleep_for(observation_time);
    measure_changes(mesh, 11, 25, milliseconds{200});
}
