#include <savorywheel/routing/canary_set.hpp>

#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

namespace savorywheel::test {

namespace {

const version_name old_version{"v1"};
const version_name new_version{"v2"};
constexpr std::size_t servers = 6;

service_state make_service(std::uint32_t share)
{
    service_state service;
    service.weights = {{old_version, weight_sum_permille - share}, {new_version, share}};
    rollout_move move;
    move.from = {{old_version, weight_sum_permille}};
    move.to = {{new_version, weight_sum_permille}};
    service.move = move;
    return service;
}

std::vector<route_endpoint> make_endpoints()
{
    std::vector<route_endpoint> endpoints;
    for (std::size_t i = 0; i < servers; ++i) {
        for (const auto& version : {old_version, new_version}) {
            route_endpoint endpoint;
            endpoint.node = node_id{version.str() + "-" + std::to_string(i)};
            endpoint.version = version;
            endpoints.push_back(endpoint);
        }
    }
    return endpoints;
}

std::ptrdiff_t standby_count(const service_state& service, const version_name& version)
{
    auto endpoints = make_endpoints();
    mark_standby_endpoints(service, endpoints);
    return std::ranges::count_if(endpoints, [&version](const route_endpoint& endpoint) {
        return endpoint.standby && endpoint.version == version;
    });
}

} // namespace

TEST(canary_set, version_gets_as_many_endpoints_as_its_share_needs)
{
    EXPECT_EQ(standby_count(make_service(50), new_version), 4);
    EXPECT_EQ(standby_count(make_service(200), new_version), 4);
    EXPECT_EQ(standby_count(make_service(500), new_version), 3);
    EXPECT_EQ(standby_count(make_service(1000), new_version), 0);
}

TEST(canary_set, the_old_version_keeps_all_its_endpoints)
{
    EXPECT_EQ(standby_count(make_service(200), old_version), 0);
}

TEST(canary_set, an_ended_move_and_an_override_use_all_endpoints)
{
    auto service = make_service(200);
    service.move->status = move_status::done;
    EXPECT_EQ(standby_count(service, new_version), 0);
    service = make_service(200);
    service.override_in_force = manual_override{};
    EXPECT_EQ(standby_count(service, new_version), 0);
}

TEST(canary_set, does_not_depend_on_the_order_of_the_endpoints)
{
    const auto service = make_service(200);
    auto endpoints = make_endpoints();
    auto reversed = endpoints;
    std::ranges::reverse(reversed);
    mark_standby_endpoints(service, endpoints);
    mark_standby_endpoints(service, reversed);
    std::ranges::reverse(reversed);
    EXPECT_TRUE(std::ranges::equal(endpoints, reversed, {}, &route_endpoint::standby,
                                   &route_endpoint::standby));
}

} // namespace savorywheel::test
