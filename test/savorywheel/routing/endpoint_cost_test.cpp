#include <savorywheel/core/seeded_random.hpp>
#include <savorywheel/routing/locality_endpoint_selector.hpp>

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
struct two_server_fixture {
    void report(const route_endpoint& endpoint, std::uint32_t calls, milliseconds service_time)
    {
        loads.report(endpoint.node,
                     {std::min(calls, 10U), calls - std::min(calls, 10U), service_time},
                     time.now());
    }

    std::string select(std::size_t bytes = 0, duration target_remaining = {})
    {
        return subject.select(endpoints, version, {}, {bytes, target_remaining})->node.str();
    }

    manual_clock time;
    seeded_random random{1};
    load_table loads;
    endpoint_health health{time};
    std::vector<route_endpoint> endpoints{make_endpoint("near", "own", "own"),
                                          make_endpoint("far", "other", "other")};
    locality_endpoint_selector subject{
        failure_domain{"own"}, region_name{"own"}, {loads, health, random, time}};
};

} // namespace

TEST(endpoint_cost, crosses_regions_only_if_time_saved_exceeds_distance_cost)
{
    two_server_fixture mesh;
    mesh.report(mesh.endpoints[0], 0, milliseconds{300});
    mesh.report(mesh.endpoints[1], 0, milliseconds{150});
    EXPECT_EQ(mesh.select(), "near");
    mesh.report(mesh.endpoints[0], 20, milliseconds{300});
    EXPECT_EQ(mesh.select(), "far");
}

TEST(endpoint_cost, large_body_stays_in_region_where_small_body_does_not)
{
    constexpr std::size_t upload_bytes = 60'000;
    two_server_fixture mesh;
    mesh.report(mesh.endpoints[0], 20, milliseconds{300});
    mesh.report(mesh.endpoints[1], 0, milliseconds{300});
    EXPECT_EQ(mesh.select(), "far");
    EXPECT_EQ(mesh.select(upload_bytes), "near");
}

TEST(endpoint_cost, call_that_would_be_late_nearby_goes_to_a_far_endpoint_that_is_in_time)
{
    two_server_fixture mesh;
    mesh.report(mesh.endpoints[0], 6, milliseconds{250});
    mesh.report(mesh.endpoints[1], 0, milliseconds{120});
    EXPECT_EQ(mesh.select(0, milliseconds{2000}), "near");
    EXPECT_EQ(mesh.select(0, milliseconds{400}), "far");
}

TEST(endpoint_cost, call_that_would_be_late_everywhere_stays_near)
{
    two_server_fixture mesh;
    mesh.report(mesh.endpoints[0], 30, milliseconds{300});
    mesh.report(mesh.endpoints[1], 30, milliseconds{300});
    EXPECT_EQ(mesh.select(0, milliseconds{400}), "near");
}

TEST(endpoint_cost, reported_load_decays_with_age)
{
    two_server_fixture mesh;
    mesh.report(mesh.endpoints[0], 30, milliseconds{300});
    mesh.report(mesh.endpoints[1], 0, milliseconds{300});
    EXPECT_EQ(mesh.select(), "far");
    mesh.time.advance(std::chrono::seconds{5});
    EXPECT_EQ(mesh.select(), "near");
}

TEST(endpoint_cost, own_calls_in_flight_count_immediately)
{
    two_server_fixture mesh;
    mesh.report(mesh.endpoints[0], 0, milliseconds{300});
    mesh.report(mesh.endpoints[1], 0, milliseconds{300});
    for (int i = 0; i < 25; ++i) {
        mesh.loads.begin(mesh.endpoints[0].node);
    }
    EXPECT_EQ(mesh.select(), "far");
}

} // namespace savorywheel::test
