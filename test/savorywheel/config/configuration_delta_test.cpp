#include <savorywheel/config/configuration_delta.hpp>

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <string>

namespace savorywheel::test {

namespace {

/** Few names, so that two generated configurations have hosts, routes and tenants in common. */
std::string any_name()
{
    return "n" + std::to_string(*rc::gen::inRange(0, 6));
}

host_route any_route()
{
    host_route route;
    route.path = "/" + any_name();
    route.timeout = std::chrono::milliseconds{*rc::gen::inRange(1, 3)};
    route.is_public = *rc::gen::arbitrary<bool>();
    route.shares = {{service_name{any_name()}, 1}};
    return route;
}

tenant_spec any_tenant()
{
    tenant_spec tenant;
    tenant.name = tenant_name{any_name()};
    tenant.rate_per_s = *rc::gen::inRange(0, 3);
    tenant.keys.resize(static_cast<std::size_t>(*rc::gen::inRange(0, 2)));
    return tenant;
}

template<typename Make>
auto any_list(const Make& make)
{
    std::vector<decltype(make())> list;
    for (int left = *rc::gen::inRange(0, 8); left > 0; --left) {
        list.push_back(make());
    }
    return list;
}

operator_configuration any_configuration()
{
    operator_configuration item;
    item.version = config_version{*rc::gen::inRange<std::uint64_t>(1, 1000)};
    item.services = any_list([] { return service_name{any_name()}; });
    item.hosts = any_list([] { return virtual_host{any_name(), any_list(any_route)}; });
    item.tenants = any_list(any_tenant);
    if (*rc::gen::arbitrary<bool>()) {
        item.limits.max_body_bytes = *rc::gen::inRange<std::uint64_t>(0, 3);
    }
    return item;
}

/** A configuration of 800 routes and 84 tenants, as on the largest site. */
operator_configuration large_configuration()
{
    operator_configuration item;
    item.version = config_version{5};
    for (int host = 0; host < 40; ++host) {
        virtual_host entry{"host-" + std::to_string(host) + ".example", {}};
        for (int path = 0; path < 20; ++path) {
            host_route route;
            route.path = "/path-" + std::to_string(path) + "/";
            route.shares = {{service_name{"service-" + std::to_string(host)}, 1}};
            entry.routes.push_back(route);
        }
        item.hosts.push_back(entry);
    }
    for (int tenant = 0; tenant < 84; ++tenant) {
        item.tenants.push_back({tenant_name{"tenant-" + std::to_string(tenant)}, {}, 0, 5, 5});
    }
    return item;
}

} // namespace

// Also with names that occur twice: a peer must not end with another order of routes or tenants.
RC_GTEST_PROP(configuration_delta, applied_to_its_base_is_the_target, ())
{
    const auto base = any_configuration();
    const auto target = any_configuration();
    const auto delta = make_configuration_delta(base, 7, target);
    const auto result = apply_configuration_delta(base, 7, delta);
    RC_ASSERT(static_cast<bool>(result));
    RC_ASSERT(*result == target);
}

TEST(configuration_delta, contains_only_what_was_changed)
{
    const auto base = large_configuration();
    auto target = base;
    target.version = config_version{6};
    target.hosts[3].routes[4].timeout = std::chrono::milliseconds{99};
    target.hosts[7].routes.erase(target.hosts[7].routes.begin() + 2);
    target.tenants[9].rate_per_s = 8;
    const auto delta = make_configuration_delta(base, 7, target);
    std::size_t hosts = 0;
    std::size_t routes = 0;
    for (const auto& segment : delta.hosts) {
        hosts += segment.added.size();
        for (const auto& host : segment.added) {
            for (const auto& part : host.routes) {
                routes += part.added.size();
            }
        }
    }
    EXPECT_EQ(hosts, 2U);
    EXPECT_EQ(routes, 1U);
    EXPECT_EQ(delta.tenants.size(), 2U);
    EXPECT_EQ(*apply_configuration_delta(base, 7, delta), target);
}

TEST(configuration_delta, is_refused_by_another_configuration)
{
    const auto base = large_configuration();
    const auto delta = make_configuration_delta(base, 7, base);
    EXPECT_EQ(apply_configuration_delta(base, 8, delta).reason().code, failure_code::conflict);
    auto other = base;
    other.version = config_version{4};
    EXPECT_EQ(apply_configuration_delta(other, 7, delta).reason().code, failure_code::conflict);
}

TEST(configuration_delta, positions_beyond_the_base_are_malformed)
{
    const auto base = large_configuration();
    for (const auto& [first, count] : {std::pair{85U, 0U}, {84U, 1U}, {1U, 0xFFFFFFFFU}}) {
        auto delta = make_configuration_delta(base, 7, base);
        delta.tenants = {{first, count, {}}};
        EXPECT_EQ(apply_configuration_delta(base, 7, delta).reason().code, failure_code::malformed);
    }
}

// A message of 16 MB could name the same items of the base a million times.
TEST(configuration_delta, repeated_items_do_not_exhaust_the_memory)
{
    const auto base = large_configuration();
    auto delta = make_configuration_delta(base, 7, base);
    delta.tenants.assign(10'000, {0, 84, {}});
    EXPECT_EQ(apply_configuration_delta(base, 7, delta).reason().code, failure_code::malformed);
}

} // namespace savorywheel::test
