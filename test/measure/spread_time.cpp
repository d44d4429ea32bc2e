#include <fmt/format.h>
#include <platform/proxied_mesh.hpp>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <thread>
#include <vector>

namespace savorywheel::platform::test {

namespace {

using namespace std::chrono_literals;
using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::system_clock;

constexpr auto settling_time = 5000ms;
constexpr auto silence_before_change = 750ms;
constexpr auto observation_time = 12'000ms;

/** Prints when the nodes had a change that followed the silence of all connections to the store. */
void measure_change(proxied_mesh& mesh, int version, int killed)
{
    mesh.silence_connections();
    for (int i = 0; i < killed; ++i) {
        mesh.kill_node(mesh.node_count() - 1 - i - version);
    }
    std::this_thread::sleep_for(silence_before_change);
    mesh.add_route(version, fmt::format("/added-{}/", version));
    const auto acknowledged = system_clock::now();
    std::this_thread::sleep_for(observation_time);
    std::vector<long> delays;
    for (int node = 0; node < mesh.node_count(); ++node) {
        if (const auto at = mesh.in_force_at(node, version)) {
            delays.push_back(duration_cast<milliseconds>(*at - acknowledged).count());
        }
    }
    std::ranges::sort(delays);
    if (delays.empty()) {
        fmt::print("version {}: at no node\n", version);
        return;
    }
    fmt::print("{} nodes, {} killed, version {}: in force at {} after {} (first), {} (median), "
               "{} (last) ms\n",
               mesh.node_count(), killed, version, delays.size(), delays.front(),
               delays[delays.size() / 2], delays.back());
    std::fflush(stdout);
}

} // namespace

} // namespace savorywheel::platform::test

/** Usage: measure_spread NODES [CHANGES [NODES KILLED BEFORE EACH CHANGE]] */
int main(int argc, char** argv)
{
    using namespace savorywheel::platform::test;
    const int nodes = argc > 1 ? std::atoi(argv[1]) : 18;
    const int changes = argc > 2 ? std::atoi(argv[2]) : 4;
    const int killed = argc > 3 ? std::atoi(argv[3]) : 0;
    proxied_mesh mesh{nodes, 153};
    std::this_thread::sleep_for(settling_time);
    for (int i = 0; i < changes; ++i) {
        measure_change(mesh, 7 + 2 * i, killed);
    }
}
