#ifndef SAVORYWHEEL_TEST_PLATFORM_MEASURED_CONFIGURATION_HPP
#define SAVORYWHEEL_TEST_PLATFORM_MEASURED_CONFIGURATION_HPP

#include <fmt/format.h>
#include <platform/fake_metadata_store.hpp>

namespace savorywheel::platform::test {

/** 800 routes and 84 tenants; a version changes the timeout of one route. */
inline json measured_configuration(int version)
{
    constexpr int host_count = 40;
    constexpr int routes_per_host = 20;
    constexpr int tenant_count = 84;
    json hosts = json::array();
    for (int host = 0; host < host_count; ++host) {
        json rules = json::array();
        for (int route = 0; route < routes_per_host; ++route) {
            const bool changed = host == version % host_count && route == 0;
            rules.push_back({{"name", fmt::format("route-{}-{}", host, route)},
                             {"path-prefix", fmt::format("/area-{}/path-{}/", host, route)},
                             {"kind", "idempotent"},
                             {"timeout", changed ? fmt::format("{}ms", 1000 + version) : "1s"},
                             {"target-latency", "400ms"},
                             {"priority", 1},
                             {"max-attempts", 1},
                             {"service", "desk"}});
        }
        hosts.push_back({{"host", host == 0 ? "desk.example" : fmt::format("h{}.example", host)},
                         {"path-rules", rules}});
    }
    json tenants = json::array();
    for (int tenant = 0; tenant < tenant_count; ++tenant) {
        tenants.push_back({{"name", fmt::format("tenant-{}", tenant)},
                           {"api-keys", {fmt::format("key-{}-{}", tenant, 77 * tenant)}},
                           {"priority", 0},
                           {"rate-per-s", 5 + tenant},
                           {"burst", 5 + tenant}});
    }
    return {{"spec",
             {{"version", version},
              {"services", {{{"name", "desk"}, {"health-path", "/healthz"}}}},
              {"limits", {{"idle-timeout", "15000ms"}}},
              {"tenants", tenants},
              {"virtual-hosts", hosts}}}};
}

} // namespace savorywheel::platform::test

#endif
