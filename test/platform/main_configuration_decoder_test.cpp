#include <fmt/format.h>
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

TEST(main_configuration_decoder, decodes_tenants_and_public_routes)
{
    std::string text{document};
    text.insert(
        text.find("\"limits\""),
        R"("tenants":[{"name":"clinic","api-keys":["k 1","k2"],"priority":1,"rate-per-s":2.5,
"burst":3},{"name":"bank","api-keys":[],"burst":7},{"name":"shop"}],)");
    text.insert(text.find("\"new-field\""), "\"public\":true,");
    const auto result = main_configuration_decoder{}.decode(text);
    ASSERT_TRUE(result) << result.reason().message;
    ASSERT_EQ(result->tenants.size(), 3U);
    const tenant_spec clinic{
        tenant_name{"clinic"}, {digest_of_key("k 1"), digest_of_key("k2")}, 1, 2.5, 3.0};
    EXPECT_EQ(result->tenants[0], clinic);
    EXPECT_EQ(result->tenants[1], (tenant_spec{tenant_name{"bank"}, {}, 0, 0.0, 7.0}));
    EXPECT_FALSE(result->hosts.front().routes[0].is_public);
    EXPECT_TRUE(result->hosts.front().routes[1].is_public);
}

// A rate that was not a number was read as no limit, and a list that was not one as no tenants.
TEST(main_configuration_decoder, faulty_tenants_are_refused_with_their_place_and_without_a_key)
{
    const std::vector<std::pair<std::string, std::string>> cases{
        {R"([{"name":"a"},{"name":"a"}])", "tenants/1/name: found tenant \"a\" twice"},
        {R"([{"name":"a","api-keys":["secret"]},{"name":"b","api-keys":["x","secret"]}])",
         "tenants/1/api-keys/1: found a key of tenant \"a\""},
        {R"([{"name":"a","api-keys":["x",""]}])", "tenants/0/api-keys/1: found an empty key"},
        {R"([{"name":"a","api-keys":["secret\r\n"]}])", "tenants/0/api-keys/0: found a key that"},
        {R"([{"name":"a","api-keys":["secret\u007f"]}])", "tenants/0/api-keys/0: found a key that"},
        {R"([{"name":"a","api-keys":[7]}])", "tenants/0/api-keys/0: found a value that"},
        {R"([{"name":"a","rate-per-s":-1}])", "tenants/0/rate-per-s: found -1"},
        {R"([{"name":"a","rate-per-s":"secret"}])", "tenants/0/rate-per-s: found nan"},
        {R"([{"name":"a","burst":1.1e9}])", "tenants/0/burst: found 1100000000"},
        {R"([{"name":"a","priority":-1}])", "tenants/0/priority: found no whole number"},
        {R"([{"name":"a\r\nx: y"}])", "tenants/0/name: found a name that"},
        {R"([{"name":"a","api-keys":"secret"}])", "missing or invalid name or api-keys"},
        {R"({"name":"a"})", "missing or invalid list of tenants"}};
    for (const auto& [tenants, expected] : cases) {
        std::string text{document};
        text.insert(text.find("\"limits\""), "\"tenants\":" + tenants + ",");
        const auto result = main_configuration_decoder{}.decode(text);
        ASSERT_FALSE(result) << tenants;
        EXPECT_EQ(result.reason().code, failure_code::malformed) << tenants;
        EXPECT_TRUE(result.reason().message.starts_with(expected)) << result.reason().message;
        EXPECT_EQ(result.reason().message.find("secret"), std::string::npos);
    }
}

TEST(main_configuration_decoder, accepts_ten_thousand_tenants)
{
    std::string tenants;
    for (int i = 0; i < 10'000; ++i) {
        tenants += fmt::format(R"({}{{"name":"t{}","api-keys":["k{}"],"rate-per-s":{}}})",
                               i == 0 ? "" : ",", i, i, i);
    }
    std::string text{document};
    text.insert(text.find("\"limits\""), "\"tenants\":[" + tenants + "],");
    const auto result = main_configuration_decoder{}.decode(text);
    ASSERT_TRUE(result) << result.reason().message;
    EXPECT_EQ(result->tenants.size(), 10'000U);
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
