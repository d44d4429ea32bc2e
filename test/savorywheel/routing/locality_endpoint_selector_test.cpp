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

TEST(locality_endpoint_selector, prefers_many_short_calls_to_few_long_ones)
{
    using std::chrono::milliseconds;
    selector_fixture mesh;
    const std::vector endpoints{make_endpoint("few", 0), make_endpoint("many", 0)};
    mesh.loads.report(endpoints[0].node, {2, 1, milliseconds{100}, milliseconds{1800}},
                      mesh.time.now());
    mesh.loads.report(endpoints[1].node, {2, 3, milliseconds{100}, milliseconds{150}},
                      mesh.time.now());
    call_profile call;
    call.work = {milliseconds{100}, milliseconds{100}};
    EXPECT_EQ(mesh.subject.select(endpoints, version, {}, call)->node, endpoints[1].node);
}

// Guards against nodes with the same reports that all send their next call to the same endpoint, as
// after a start, when no endpoint but one has reported.
TEST(locality_endpoint_selector, endpoints_of_equal_cost_are_selected_at_random)
{
    using std::chrono::milliseconds;
    selector_fixture mesh;
    constexpr int endpoint_count = 8;
    std::vector<route_endpoint> endpoints;
    endpoints.reserve(endpoint_count);
    for (int i = 0; i < endpoint_count; ++i) {
        endpoints.push_back(make_endpoint(std::to_string(i), 0));
    }
    mesh.loads.report(endpoints[0].node, {1, 0, milliseconds{100}, milliseconds{50}},
                      mesh.time.now());
    call_profile call;
    call.work = {milliseconds{100}, milliseconds{100}};
    std::map<node_id, int> selected;
    constexpr int calls = 800;
    for (int i = 0; i < calls; ++i) {
        ++selected[mesh.subject.select(endpoints, version, {}, call)->node];
    }
    EXPECT_GE(selected.size(), endpoint_count - 1U);
    EXPECT_TRUE(
        std::ranges::all_of(selected, [](const auto& item) { return item.second < calls / 4; }));
}

// The rule by count does not depend on what was learned of calls, and has no random ties.
TEST(locality_endpoint_selector, without_reports_of_work_the_first_of_the_least_cost_is_selected)
{
    using std::chrono::milliseconds;
    selector_fixture mesh;
    const std::vector endpoints{make_endpoint("a", 0), make_endpoint("b", 0)};
    for (const auto& endpoint : endpoints) {
        mesh.loads.report(endpoint.node, {1, 0, milliseconds{100}, {}}, mesh.time.now());
    }
    call_profile call;
    call.work = {milliseconds{500}, milliseconds{500}};
    for (int i = 0; i < 20; ++i) {
        EXPECT_EQ(mesh.subject.select(endpoints, version, {}, call)->node, endpoints[0].node);
    }
}

} // namespace savorywheel::test
