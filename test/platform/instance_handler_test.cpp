#include <savorywheel/admin/fixed_node_control.hpp>
#include <savorywheel/http/http_status.hpp>

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <platform/instance_handler.hpp>
#include <rapidcheck/gtest.h>
#include <support/recording_event_log.hpp>

namespace savorywheel::platform::test {

namespace {

constexpr const char* valid_body =
    R"({"service":"huvo11a","address":"10.128.0.9:8080","zone":"tln-a","version":"v1",)"
    R"("max-concurrency":9,"state":"ready","warmup-left":"0ms","sequence":4,"born":1700000000000})";

std::string replaced(std::string text, std::string_view part, std::string_view replacement)
{
    const auto position = text.find(part);
    EXPECT_NE(position, std::string::npos) << part;
    return text.replace(position, part.size(), replacement);
}

class instance_handler_test : public testing::Test {
protected:
    int announce(const std::string& body, const std::string& identity = "i-1")
    {
        return subject_.handle({"PUT", "/instances/" + identity, {}, body}).status;
    }

    savorywheel::test::fixed_node_control control_;
    savorywheel::test::recording_event_log log_;
    instance_handler subject_{control_, log_};
};

} // namespace

TEST_F(instance_handler_test, valid_announcement_is_applied)
{
    EXPECT_EQ(announce(valid_body), status_ok);
    ASSERT_TRUE(control_.last_announcement());
    EXPECT_EQ(control_.last_announcement()->slots, 9U);
    EXPECT_EQ(control_.last_announcement()->identity, "i-1");
    EXPECT_EQ(announce(replaced(valid_body, R"(,"born":1700000000000)", "")), status_ok);
    EXPECT_EQ(announce(replaced(valid_body, "0ms", "2.5s")), status_ok);
    EXPECT_EQ(control_.last_announcement()->state, server_state::warming);
    EXPECT_EQ(announce(replaced(valid_body, "ready", "draining")), status_ok);
}

TEST_F(instance_handler_test, announcement_of_another_writer_names_no_server)
{
    const std::vector<std::pair<std::string, std::string>> changes{
        {R"("huvo11a")", "7"},
        {R"("huvo11a")", R"("")"},
        {R"("huvo11a")", R"("a/b")"},
        {R"("huvo11a")", '"' + std::string(100'000, 'a') + '"'},
        {R"("huvo11a")", R"("\ud800")"},
        {"8080", "0"},
        {"8080", "65536"},
        {"8080", "808080"},
        {"8080", "-1"},
        {"10.128.0.9", "nowhere"},
        {"10.128.0.9", R"(10.128.0.9\u0000)"},
        {R"("tln-a")", "[]"},
        {R"("v1")", R"("\u0000")"},
        {R"("max-concurrency":9)", R"("max-concurrency":0)"},
        {R"("max-concurrency":9)", R"("max-concurrency":-9)"},
        {R"("max-concurrency":9)", R"("max-concurrency":9.5)"},
        {R"("max-concurrency":9)", R"("max-concurrency":4294967305)"},
        {R"("max-concurrency":9)", R"("max-concurrency":1e999)"},
        {R"("max-concurrency":9)", R"("max-concurrency":18446744073709551625)"},
        {R"("ready")", R"("gone")"},
        {R"("ready")", "null"},
        {R"("0ms")", "0"},
        {R"("0ms")", R"("nanms")"},
        {R"("0ms")", R"("1e300s")"},
        {R"("sequence":4)", R"("sequence":"4")"},
        {R"("sequence":4)", R"("sequence":18446744073709551615)"},
        {"1700000000000", R"("1700000000000")"},
        {"1700000000000", "18446744073709551615"},
        {"1700000000000", "-1"},
        {R"("sequence":4)",
         R"("sequence":4,"a":)" + std::string(100'000, '[') + std::string(100'000, ']')},
        {R"({)", ""},
        {R"("service")", "\"\xff\""}};
    for (const auto& [part, replacement] : changes) {
        EXPECT_EQ(announce(replaced(valid_body, part, replacement)), status_bad_request)
            << part << " " << replacement.substr(0, 60);
    }
    const std::vector<std::string> bodies{"", "7", "[]", "null", "\xff", "{}"};
    for (const auto& body : bodies) {
        EXPECT_EQ(announce(body), status_bad_request) << body;
    }
    EXPECT_FALSE(control_.last_announcement());
    EXPECT_EQ(log_.count(event_id::announcement_invalid), changes.size() + bodies.size());
}

TEST_F(instance_handler_test, malformed_identity_is_rejected)
{
    for (const auto& identity : {std::string{}, std::string{"a/b"}, std::string{"a%00"},
                                 std::string{"\xff"}, std::string(100'000, 'a')}) {
        EXPECT_EQ(announce(valid_body, identity), status_bad_request) << identity.substr(0, 60);
        EXPECT_EQ(subject_.handle({"DELETE", "/instances/" + identity, {}, {}}).status,
                  status_bad_request)
            << identity.substr(0, 60);
    }
    EXPECT_FALSE(control_.last_announcement());
}

// Review case 4: a server whose announcements were not applied was told that they were.
TEST_F(instance_handler_test, announcement_that_is_not_applied_is_not_acknowledged)
{
    control_.refuse_announcements({failure_code::invalid_argument, "service ghost"});
    EXPECT_EQ(announce(valid_body), status_bad_request);
    EXPECT_EQ(log_.count(event_id::announcement_invalid), 1U);
    control_.refuse_announcements({failure_code::conflict, "another backend server is in use"});
    EXPECT_EQ(announce(valid_body), status_conflict);
}

RC_GTEST_PROP(instance_handler, accepted_mutated_announcement_is_within_limits, ())
{
    std::string body{valid_body};
    const auto mutations = *rc::gen::inRange(1, 4);
    for (int i = 0; i < mutations; ++i) {
        const auto position = *rc::gen::inRange<std::size_t>(0, body.size());
        const auto removed = *rc::gen::inRange<std::size_t>(0, 5);
        body.replace(position, removed,
                     *rc::gen::element<std::string>("", "9", "999999", "e9", "-", "{}", "[[]]",
                                                    "null", "\"", ",", "\xff", "\\u0000"));
    }
    savorywheel::test::fixed_node_control control;
    savorywheel::test::recording_event_log log;
    instance_handler subject{control, log};
    const auto response = subject.handle({"PUT", "/instances/i-1", {}, body});
    RC_ASSERT(response.status == status_ok || response.status == status_bad_request);
    if (const auto& backend = control.last_announcement()) {
        RC_ASSERT(is_usable(backend->endpoint));
        RC_ASSERT(backend->slots > 0 && backend->slots <= 65'535);
        RC_ASSERT(!backend->service.empty() && !backend->version.empty());
    }
}

} // namespace savorywheel::platform::test
