#include <savorywheel/core/seeded_random.hpp>
#include <savorywheel/routing/nearest_endpoint_chooser.hpp>

#include <gtest/gtest.h>
#include <support/manual_clock.hpp>

namespace savorywheel::test {

namespace {

using std::chrono::milliseconds;

const version_name version{"v1"};

route_endpoint make_endpoint(const std::string& name, const std::string& domain,
                             const std::string& region)
{
    route_endpoint endpoint;
    endpoint.node = node_id{name};
    endpoint.domain = failure_domain{domain};
    endpoint.region = region_name{region};
    endpoint.version = version;
    endpoint.slots = 10;
    return endpoint;
}

/** One endpoint in the own region and one in another region, with settable reported loads. */
struct two_servers {
    void report(const route_endpoint& endpoint, std::uint32_t calls, milliseconds service_time)
    {
        loads.report(endpoint.node,
                     {std::min(calls, 10U), calls - std::min(calls, 10U), service_time},
                     time.now());
    }

    std::string choose(std::size_t bytes = 0)
    {
        return subject.choose(endpoints, version, {}, bytes)->node.str();
    }

    manual_clock time;
    seeded_random random{1};
    load_table loads;
    endpoint_health health{time};
    std::vector<route_endpoint> endpoints{make_endpoint("near", "own", "own"),
                                          make_endpoint("far", "other", "other")};
    nearest_endpoint_chooser subject{
        failure_domain{"own"}, region_name{"own"}, {loads, health, random, time}};
};

} // namespace

TEST(endpoint_cost, a_call_leaves_the_region_only_if_the_near_server_is_slower_by_more_than_the_way)
{
    two_servers mesh;
    mesh.report(mesh.endpoints[0], 0, milliseconds{300});
    mesh.report(mesh.endpoints[1], 0, milliseconds{150});
    EXPECT_EQ(mesh.choose(), "near");
    mesh.report(mesh.endpoints[0], 20, milliseconds{300});
    EXPECT_EQ(mesh.choose(), "far");
}

TEST(endpoint_cost, a_large_body_stays_where_a_small_one_would_leave)
{
    constexpr std::size_t upload_bytes = 60'000;
    two_servers mesh;
    mesh.report(mesh.endpoints[0], 20, milliseconds{300});
    mesh.report(mesh.endpoints[1], 0, milliseconds{300});
    EXPECT_EQ(mesh.choose(), "far");
    EXPECT_EQ(mesh.choose(upload_bytes), "near");
}

TEST(endpoint_cost, what_a_gate_said_counts_for_less_the_older_it_is)
{
    two_servers mesh;
    mesh.report(mesh.endpoints[0], 30, milliseconds{300});
    mesh.report(mesh.endpoints[1], 0, milliseconds{300});
    EXPECT_EQ(mesh.choose(), "far");
    mesh.time.advance(std::chrono::seconds{5});
    EXPECT_EQ(mesh.choose(), "near");
}

TEST(endpoint_cost, own_calls_that_are_outstanding_count_at_once)
{
    two_servers mesh;
    mesh.report(mesh.endpoints[0], 0, milliseconds{300});
    mesh.report(mesh.endpoints[1], 0, milliseconds{300});
    for (int i = 0; i < 25; ++i) {
        mesh.loads.begin(mesh.endpoints[0].node);
    }
    EXPECT_EQ(mesh.choose(), "far");
}

} // namespace savorywheel::test
