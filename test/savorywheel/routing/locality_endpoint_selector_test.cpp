#include <savorywheel/core/seeded_random.hpp>
#include <savorywheel/routing/locality_endpoint_selector.hpp>

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <support/manual_clock.hpp>

#include <algorithm>
#include <map>

namespace savorywheel::test {

namespace {

const version_name version{"v1"};

route_endpoint make_endpoint(const std::string& name, int distance)
{
    route_endpoint endpoint;
    endpoint.node = node_id{name};
    endpoint.domain = failure_domain{distance == 0 ? "near" : "far"};
    endpoint.region = region_name{distance == 2 ? "other" : "own"};
    endpoint.version = version;
    endpoint.slots = 2;
    return endpoint;
}

struct selector_fixture {
    manual_clock time;
    seeded_random random{1};
    load_table loads;
    endpoint_health health{time};
    locality_endpoint_selector subject{
        failure_domain{"near"}, region_name{"own"}, {loads, health, random, time}};
};

int distance_of(const route_endpoint& endpoint)
{
    if (endpoint.region == region_name{"other"}) {
        return 2;
    }
    return endpoint.domain == failure_domain{"near"} ? 0 : 1;
}

} // namespace

TEST(proof_locality, a_farther_endpoint_is_chosen_only_if_no_nearer_one_has_capacity)
{
    EXPECT_TRUE(rc::check([] {
        selector_fixture mesh;
        std::vector<route_endpoint> endpoints;
        std::map<node_id, bool> capacity;
        for (int i = *rc::gen::inRange(1, 8); i > 0; --i) {
            endpoints.push_back(make_endpoint(std::to_string(i), *rc::gen::inRange(0, 3)));
            const auto& node = endpoints.back().node;
            const int load = *rc::gen::inRange(0, 4);
            for (int call = 0; call < load; ++call) {
                mesh.loads.begin(node);
            }
            const bool refused = *rc::gen::arbitrary<bool>();
            if (refused) {
                mesh.health.record_overload(node);
            }
            capacity[node] = load < 2 && !refused;
        }
        const auto* chosen = mesh.subject.select(endpoints, version, {}, {});
        RC_ASSERT(chosen != nullptr);
        for (const auto& other : endpoints) {
            if (capacity[other.node]) {
                RC_ASSERT(capacity[chosen->node]);
                RC_ASSERT(distance_of(*chosen) <= distance_of(other));
            }
        }
    }));
}

TEST(proof_outliers, repeatedly_failing_endpoint_is_ejected_temporarily)
{
    selector_fixture mesh;
    const std::vector endpoints{make_endpoint("bad", 0), make_endpoint("good", 1)};
    for (int i = 0; i < 3; ++i) {
        mesh.health.record_failure(endpoints[0].node);
    }
    EXPECT_EQ(mesh.subject.select(endpoints, version, {}, {})->node, endpoints[1].node);
    mesh.time.advance(std::chrono::seconds{2});
    EXPECT_EQ(mesh.subject.select(endpoints, version, {}, {})->node, endpoints[0].node);
}

TEST(locality_endpoint_selector, selects_ejected_endpoint_if_no_other_exists)
{
    selector_fixture mesh;
    const std::vector endpoints{make_endpoint("bad", 0)};
    for (int i = 0; i < 3; ++i) {
        mesh.health.record_failure(endpoints[0].node);
    }
    EXPECT_NE(mesh.subject.select(endpoints, version, {}, {}), nullptr);
}

TEST(proof_slow_start, new_endpoint_gets_fewer_calls_during_slow_start)
{
    selector_fixture mesh;
    std::vector endpoints{make_endpoint("old", 0), make_endpoint("new", 0)};
    endpoints[0].slots = 1000;
    endpoints[1].slots = 1000;
    static_cast<void>(mesh.health.slow_start_weight(endpoints[0].node));
    mesh.time.advance(std::chrono::minutes{1});
    const auto share_of_new = [&mesh, &endpoints] {
        for (int i = 0; i < 400; ++i) {
            const auto* chosen = mesh.subject.select(endpoints, version, {}, {});
            mesh.loads.begin(chosen->node);
        }
        const auto count = mesh.loads.in_flight(endpoints[1].node);
        for (const auto& endpoint : endpoints) {
            while (mesh.loads.in_flight(endpoint.node) > 0) {
                mesh.loads.end(endpoint.node);
            }
        }
        return count / 400.0;
    };
    EXPECT_LT(share_of_new(), 0.2);
    mesh.time.advance(std::chrono::minutes{1});
    EXPECT_GT(share_of_new(), 0.4);
}

} // namespace savorywheel::test
