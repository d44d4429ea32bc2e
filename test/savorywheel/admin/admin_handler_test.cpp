#include "fixed_node_control.hpp"
#include "unreliable_store.hpp"

#include <savorywheel/admin/admin_handler.hpp>
#include <savorywheel/config/mesh_spec_parser.hpp>
#include <savorywheel/core/seeded_random.hpp>
#include <savorywheel/encoding/codec.hpp>

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <support/manual_clock.hpp>
#include <support/recording_event_log.hpp>

namespace savorywheel::test {

namespace {

constexpr const char* good_key = "0123456789abcdef";
constexpr const char* mesh_text = R"(failure_domains: [{name: east-1, region: east}]
services:
  - name: plugboard
    routes: [{path: /check, deadline_ms: 200}]
    versions: [{name: v1, weight: 100}]
)";

class admin_handler_test : public ::testing::Test {
protected:
    http_response send(std::string method, std::string target, std::string body = {},
                       std::vector<http_header> headers = {{"X-Savorywheel-Key", good_key}})
    {
        return handler_.handle(
            {std::move(method), std::move(target), std::move(headers), std::move(body)});
    }

    std::size_t objects() { return store_.list("", "")->objects.size(); }

    std::string override_body(std::uint32_t permille)
    {
        return encode_json(override_request{{{version_name{"v1"}, permille}}, "a reason"});
    }

    manual_clock time_;
    seeded_random random_{1};
    unreliable_store store_;
    fixed_node_control control_;
    recording_event_log log_;
    metric_registry metrics_;
    operator_directory operators_{{operator_key{author_name{"ann"}, good_key}}};
    change_service changes_{{time_, random_, store_, control_}};
    admin_handler handler_{{control_, changes_, operators_, metrics_, log_}};
};

} // namespace

TEST_F(admin_handler_test, wrong_or_missing_key_is_rejected_and_logged)
{
    const std::vector<std::vector<http_header>> wrong{{},
                                                      {{"X-Savorywheel-Key", ""}},
                                                      {{"X-Savorywheel-Key", "0123456789abcdee"}},
                                                      {{"X-Savorywheel-Key", "0123456789abcdef0"}}};
    for (const auto& headers : wrong) {
        EXPECT_EQ(send("PUT", "/config", mesh_text, headers).status, 403);
        EXPECT_EQ(send("PUT", "/override/plugboard", override_body(1000), headers).status, 403);
        EXPECT_EQ(send("DELETE", "/override/plugboard", override_body(0), headers).status, 403);
        EXPECT_EQ(send("GET", "/settle/x", "", headers).status, 403);
    }
    EXPECT_EQ(log_.count(event_id::operator_rejected), 4 * wrong.size());
    EXPECT_EQ(objects(), 0U);
}

TEST_F(admin_handler_test, accepted_commit_records_its_author)
{
    EXPECT_EQ(send("PUT", "/config", mesh_text).status, 200);
    const auto commits = store_.list("commits/", "");
    ASSERT_EQ(commits->objects.size(), 1U);
    EXPECT_EQ(decode_json<commit>(commits->objects[0].value)->author.str(), "ann");
}

TEST_F(admin_handler_test, last_applied_text_is_returned_and_earlier_texts_are_erased)
{
    EXPECT_EQ(send("GET", "/config").status, 404);
    EXPECT_EQ(send("PUT", "/config", mesh_text).status, 200);
    const auto second = "# a remark\n" + std::string{mesh_text};
    EXPECT_EQ(send("PUT", "/config", second).status, 200);
    EXPECT_EQ(send("PUT", "/config", "services: 1").status, 409);
    const auto response = send("GET", "/config");
    EXPECT_EQ(response.status, 200);
    EXPECT_EQ(response.body, second);
    EXPECT_EQ(store_.list("texts/", "")->objects.size(), 1U);
}

// The archived text and the commits outlive a key, and any node can read them.
TEST_F(admin_handler_test, no_object_in_the_store_contains_an_api_key)
{
    const auto text = "tenants: [{name: clinic, keys: [\"secret-1\"]}]\n" + std::string{mesh_text};
    EXPECT_EQ(send("PUT", "/config", text).status, 200);
    const auto listed = store_.list("", "");
    for (const auto& object : listed->objects) {
        EXPECT_EQ(object.value.find("secret"), std::string::npos) << object.key;
    }
    const auto digest = to_string(digest_of_key("secret-1"));
    const auto read_back = send("GET", "/config").body;
    EXPECT_NE(read_back.find(digest), std::string::npos);
    const auto change = decode_json<commit>(store_.list("commits/", "")->objects[0].value);
    ASSERT_TRUE(change && change->tenants);
    ASSERT_EQ(change->tenants->size(), 1U);
    EXPECT_EQ(change->tenants->front().keys, std::vector{digest_of_key("secret-1")});
    control_.set_configuration(*mesh_state{}.apply(*change));
    const auto same = decode_json<diff_report>(send("POST", "/diff", read_back, {}).body);
    ASSERT_TRUE(same);
    EXPECT_TRUE(same->tenants.empty());
    const auto removal = decode_json<diff_report>(send("POST", "/diff", mesh_text, {}).body);
    ASSERT_TRUE(removal);
    EXPECT_EQ(removal->tenants, std::vector<std::string>{"tenant clinic removed"});
}

TEST_F(admin_handler_test, repeated_operation_is_executed_once)
{
    const std::vector<http_header> headers{{"X-Savorywheel-Key", good_key},
                                           {"X-Savorywheel-Operation", "once"}};
    ASSERT_EQ(send("PUT", "/config", mesh_text).status, 200);
    EXPECT_EQ(send("PUT", "/override/plugboard", override_body(1000), headers).status, 200);
    EXPECT_EQ(send("PUT", "/override/plugboard", override_body(1000), headers).status, 200);
    EXPECT_EQ(store_.list("commits/", "")->objects.size(), 2U);
}

TEST_F(admin_handler_test, diff_lists_changes_and_overrides_in_force)
{
    service_state state;
    state.spec.name = service_name{"plugboard"};
    state.override_in_force =
        manual_override{{{version_name{"v1"}, 1000}}, author_name{"bob"}, "quiet", {}, {1}};
    control_.set_configuration(mesh_state{config_version{1}, {}, std::array{state}});
    const auto report = decode_json<diff_report>(send("POST", "/diff", mesh_text, {}).body);
    ASSERT_TRUE(report);
    ASSERT_EQ(report->services.size(), 1U);
    EXPECT_EQ(report->services[0].change, "changed");
    EXPECT_EQ(report->services[0].details.size(), 2U);
    ASSERT_TRUE(report->services[0].override_in_force);
    EXPECT_EQ(report->services[0].override_in_force->author.str(), "bob");
    EXPECT_EQ(report->findings.size(), 1U)
        << "the request has no base version that includes the override";
    EXPECT_EQ(objects(), 0U);
}

TEST_F(admin_handler_test, malformed_requests_are_rejected_and_logged)
{
    using headers = std::vector<http_header>;
    EXPECT_EQ(send("PUT", "/override/plugboard", "{").status, 400);
    EXPECT_EQ(send("PUT", "/override/plug/board", override_body(1000)).status, 400);
    EXPECT_EQ(send("DELETE", "/override/", override_body(0)).status, 400);
    EXPECT_EQ(send("GET", "/settle/..%2fcommits").status, 400);
    EXPECT_EQ(send("PUT", "/config", mesh_text,
                   headers{{"x-savorywheel-key", good_key}, {"x-savorywheel-base", "-1"}})
                  .status,
              400);
    EXPECT_EQ(send("PUT", "/config", mesh_text,
                   headers{{"x-savorywheel-key", good_key}, {"x-savorywheel-operation", "a/b"}})
                  .status,
              400);
    const std::string deep(1'000'000, '[');
    EXPECT_EQ(send("PUT", "/backend", deep).status, 400);
    EXPECT_EQ(send("PUT", "/backend", encode_json(backend_server{})).status, 400);
    EXPECT_EQ(log_.count(event_id::admin_request_malformed), 8U);
    EXPECT_EQ(send("PUT", "/nowhere").status, 404);
    EXPECT_EQ(send("PUT", "/config", std::string(max_config_text_bytes + 1, ' ')).status, 409);
    EXPECT_EQ(objects(), 0U);
    EXPECT_FALSE(control_.last_announcement());
}

TEST_F(admin_handler_test, random_bodies_change_nothing)
{
    const auto part = rc::gen::element<std::string>(
        "{", "}", "[", "]", "\"object\"", ":", ",", "1", "\"", "services", "\n", "- ", "name", "&a",
        "*a", "\xff", "true", "%", "1e999", "\"weights\"");
    const bool passed = rc::check([&] {
        std::string body;
        for (const auto& item : *rc::gen::container<std::vector<std::string>>(part)) {
            body += item;
        }
        for (const auto* target : {"/config", "/override/plugboard", "/backend"}) {
            RC_ASSERT(send("PUT", target, body).status >= 400);
        }
        RC_ASSERT(send("POST", "/diff", body).status == 200);
        RC_ASSERT(objects() == 0U);
        RC_ASSERT(!control_.last_announcement());
    });
    EXPECT_TRUE(passed);
}

} // namespace savorywheel::test
