#include <gtest/gtest.h>
#include <platform/main_configuration_decoder.hpp>
#include <rapidcheck.h>

namespace savorywheel::platform::test {

namespace {

constexpr const char* document = R"({"metadata":{"name":"main","revision":9},"spec":{"version":7,
"services":[{"name":"a","health-path":"/healthz"},{"name":"b"}],"limits":{"idle-timeout":"15000ms"},
"virtual-hosts":[{"host":"h.example","path-rules":[
{"path-prefix":"/x/","kind":"idempotent","timeout":"1200ms","target-latency":"0.8s","priority":2,
"max-attempts":2,"traffic-split":[{"service":"a","weight":90},{"service":"b","weight":10}]},
{"path-prefix":"/y/","kind":"upload","timeout":"2s","service":"b","new-field":[1]}]}]}})";

} // namespace

TEST(main_configuration_decoder, decodes_routes_with_shares_and_durations)
{
    const auto result = main_configuration_decoder{}.decode(document);
    ASSERT_TRUE(result) << result.reason().message;
    EXPECT_EQ(result->version, config_version{7});
    ASSERT_EQ(result->hosts.size(), 1U);
    const auto& routes = result->hosts.front().routes;
    ASSERT_EQ(routes.size(), 2U);
    EXPECT_EQ(routes[0].kind, route_kind::idempotent);
    EXPECT_EQ(routes[0].timeout, std::chrono::milliseconds{1200});
    EXPECT_EQ(routes[0].target_latency, std::chrono::milliseconds{800});
    EXPECT_EQ(routes[0].max_attempts, 2U);
    EXPECT_EQ(routes[0].priority, 2U);
    EXPECT_EQ(routes[0].shares,
              (std::vector<service_share>{{service_name{"a"}, 90}, {service_name{"b"}, 10}}));
    EXPECT_EQ(routes[1].kind, route_kind::upload);
    EXPECT_EQ(routes[1].shares, (std::vector<service_share>{{service_name{"b"}, 1}}));
}

TEST(main_configuration_decoder, decodes_downloads_as_idempotent)
{
    std::string text{document};
    text.replace(text.find("upload"), 6, "download");
    const auto result = main_configuration_decoder{}.decode(text);
    ASSERT_TRUE(result) << result.reason().message;
    EXPECT_EQ(result->hosts.front().routes[1].kind, route_kind::download);
    EXPECT_TRUE(is_idempotent(route_kind::download));
    EXPECT_TRUE(result->unknown_kinds.empty());
}

TEST(main_configuration_decoder,
     route_of_an_unknown_kind_costs_no_other_route_and_is_never_repeated)
{
    std::string text{document};
    text.replace(text.find("\"upload\""), 8, "\"stream\"");
    const auto result = main_configuration_decoder{}.decode(text);
    ASSERT_TRUE(result) << result.reason().message;
    const auto& routes = result->hosts.front().routes;
    ASSERT_EQ(routes.size(), 2U);
    EXPECT_EQ(routes[0].kind, route_kind::idempotent);
    EXPECT_FALSE(is_idempotent(routes[1].kind));
    EXPECT_EQ(result->unknown_kinds,
              std::vector<std::string>{"host h.example, route /y/: kind stream"});
}

TEST(main_configuration_decoder, weight_beyond_its_range_is_malformed)
{
    for (const auto* weight : {"4294967296", "18446744073709551616", "1e999", "-1", "null"}) {
        std::string text{document};
        text.replace(text.find(":90}") + 1, 2, weight);
        EXPECT_FALSE(main_configuration_decoder{}.decode(text)) << weight;
    }
}

TEST(main_configuration_decoder, configuration_holds_beside_members_that_cannot_be_parsed)
{
    std::string text{document};
    text.insert(text.size() - 1, R"(,"status":{"a":1e999})");
    EXPECT_TRUE(main_configuration_decoder{}.decode(text));
}

TEST(main_configuration_decoder, decodes_the_limits_on_callers)
{
    const auto result = main_configuration_decoder{}.decode(
        R"({"spec":{"version":1,"services":[],"virtual-hosts":[],"limits":{"max-header-bytes":16384,
"max-body-bytes":67108864,"header-timeout":"3000ms","idle-timeout":"15.5s"}}})");
    ASSERT_TRUE(result) << result.reason().message;
    EXPECT_EQ(result->limits, (caller_limits{16'384, 67'108'864, std::chrono::milliseconds{3000},
                                             std::chrono::milliseconds{15'500}}));
}

TEST(main_configuration_decoder, limits_that_are_missing_or_invalid_are_not_configured)
{
    for (const char* limits : {R"({})", R"(7)", R"({"max-body-bytes":"x","idle-timeout":15,
"header-timeout":"-1s","max-header-bytes":-1})"}) {
        const auto result = main_configuration_decoder{}.decode(
            std::string{R"({"spec":{"version":1,"services":[],"virtual-hosts":[],"limits":)"} +
            limits + "}}");
        ASSERT_TRUE(result) << limits;
        EXPECT_EQ(result->limits, caller_limits{}) << limits;
    }
}

TEST(main_configuration_decoder, accepted_mutated_document_has_shares_on_every_route)
{
    EXPECT_TRUE(rc::check([] {
        std::string text{document};
        const auto position = *rc::gen::inRange<std::size_t>(0, text.size());
        if (*rc::gen::arbitrary<bool>()) {
            text.resize(position);
        }
        else {
            text[position] = *rc::gen::arbitrary<char>();
        }
        const auto result = main_configuration_decoder{}.decode(text);
        if (result) {
            for (const auto& host : result->hosts) {
                for (const auto& route : host.routes) {
                    RC_ASSERT(!route.shares.empty());
                }
            }
        }
    }));
}

} // namespace savorywheel::platform::test
