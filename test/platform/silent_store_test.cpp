#include <fmt/format.h>
#include <gtest/gtest.h>
#include <platform/metadata_store_server.hpp>
#include <support/blackhole_proxy.hpp>
#include <support/child_process.hpp>
#include <support/raw_http_connection.hpp>
#include <support/wait_until.hpp>
#include <unistd.h>

#include <array>
#include <filesystem>
#include <fstream>
#include <memory>
#include <thread>

namespace savorywheel::platform::test {

namespace {

using namespace std::chrono_literals;
using savorywheel::test::blackhole_proxy;
using savorywheel::test::child_process;
using savorywheel::test::raw_http_connection;
using savorywheel::test::wait_until;

/** Within this time after its acknowledgement, a change is in force. */
constexpr auto activation_limit = 2500ms;
/** After this time without a fault, all bounds hold. */
constexpr auto settling_time = 3000ms;

json configuration(int version, const std::vector<std::string>& prefixes)
{
    json rules = json::array();
    for (const auto& prefix : prefixes) {
        rules.push_back({{"name", prefix},
                         {"path-prefix", prefix},
                         {"kind", "idempotent"},
                         {"timeout", "1s"},
                         {"target-latency", "1s"},
                         {"priority", 1},
                         {"max-attempts", 1},
                         {"service", "desk"}});
    }
    return {{"spec",
             {{"version", version},
              {"services", {{{"name", "desk"}, {"health-path", "/healthz"}}}},
              {"limits", {{"idle-timeout", "15000ms"}}},
              {"virtual-hosts", {{{"host", "desk.example"}, {"path-rules", rules}}}}}}};
}

constexpr int node_count = 3;

/** Nodes without backend servers, whose connections to the store pass a proxy. */
class proxied_nodes {
public:
    proxied_nodes()
    {
        store_.put("config", "main", configuration(5, {"/first/"}));
        std::filesystem::create_directories(folder_);
        for (int i = 1; i <= node_count; ++i) {
            nodes_.push_back(start_node(i));
        }
        for (int i = 1; i <= node_count; ++i) {
            EXPECT_TRUE(wait_until([i] { return status_of(i, "/none/x") == 404; }, 20s));
        }
        // The members know each other, and no batch of changes is in progress.
        std::this_thread::sleep_for(settling_time);
    }

    ~proxied_nodes()
    {
        nodes_.clear();
        std::filesystem::remove_all(folder_);
    }

    proxied_nodes(const proxied_nodes&) = delete;
    proxied_nodes& operator=(const proxied_nodes&) = delete;
    proxied_nodes(proxied_nodes&&) = delete;
    proxied_nodes& operator=(proxied_nodes&&) = delete;

    /** Makes the open connections to the store silent, and waits until all bounds hold again. */
    void silence_connections()
    {
        proxy_.blackhole_open_connections();
        std::this_thread::sleep_for(settling_time);
    }

    static std::string address_of(int node) { return fmt::format("127.151.0.{}", node); }

    /** A route without a backend server answers 503, an unknown one 404. */
    static int status_of(int node, const std::string& path)
    {
        raw_http_connection connection{{address_of(node), 8629}};
        const auto request = fmt::format("GET {} HTTP/1.1\r\nHost: desk.example\r\n\r\n", path);
        return connection.send(request) ? connection.read_status() : 0;
    }

    /** Adds a route; counts the requests for it that are refused as unknown after the limit. */
    int count_late_refusals(int version)
    {
        const auto path = fmt::format("/added-{}/", version);
        store_.put("config", "main", configuration(version, {"/first/", path}));
        std::this_thread::sleep_for(activation_limit);
        int refusals = 0;
        for (int round = 0; round < 20; ++round) {
            for (int node = 1; node <= node_count; ++node) {
                refusals += status_of(node, path + "x") == 404 ? 1 : 0;
            }
            std::this_thread::sleep_for(50ms);
        }
        return refusals;
    }

private:
    std::unique_ptr<child_process> start_node(int node)
    {
        const auto path = folder_ / fmt::format("n{}.yaml", node);
        const auto address = address_of(node);
        std::ofstream{path} << fmt::format(
            "name: n{0}\nfailure_domain: tln-{0}\nregion: tallinn\n"
            "listen: {{traffic: \"{1}:8629\", admin: \"{1}:7615\", peer: \"{1}:7600\", "
            "announcements: \"{1}:8620\", readiness: \"{1}:8625\"}}\n"
            "caller_service: desk\nstore: \"{2}\"\nretries: {{per_call: 0.1, saved_by_mesh: 64}}\n",
            node, address, to_string(proxy_.endpoint()));
        const std::array arguments{std::string{"--settings"}, path.string()};
        return std::make_unique<child_process>("savorywheel-platform-node", arguments,
                                               (folder_ / fmt::format("n{}.log", node)).string());
    }

    metadata_store_server store_;
    blackhole_proxy proxy_{store_.endpoint()};
    std::filesystem::path folder_{std::filesystem::temp_directory_path() /
                                  fmt::format("savorywheel-silent-{}", ::getpid())};
    std::vector<std::unique_ptr<child_process>> nodes_;
};

} // namespace

// Report CONFIG/DENIED: requests for an added route got 404 for up to 16 s.
TEST(silent_store, added_route_is_in_force_in_time_while_all_watches_are_silent)
{
    proxied_nodes nodes;
    EXPECT_EQ(nodes.count_late_refusals(7), 0);
    nodes.silence_connections();
    EXPECT_EQ(nodes.count_late_refusals(9), 0);
    nodes.silence_connections();
    EXPECT_EQ(nodes.count_late_refusals(11), 0);
}

} // namespace savorywheel::platform::test
