#include <gtest/gtest.h>
#include <support/local_mesh.hpp>

#include <csignal>

namespace savorywheel::test {

namespace {

constexpr const char* config_text = R"(failure_domains:
  - {name: east-1, region: east}
  - {name: west-1, region: west}
services:
  - name: plugboard
    depends_on: [bookdesk]
    routes:
      - {path: /check, idempotent: true, deadline_ms: 2000, calls: [bookdesk]}
    versions:
      - {name: v1, weight: 100}
  - name: bookdesk
    routes:
      - {path: /book, deadline_ms: 2000}
    versions:
      - {name: v1, weight: 100}
)";

std::vector<mesh_member> four_members()
{
    return {{"plug-1", "east-1", "east", "plugboard"},
            {"plug-2", "west-1", "west", "plugboard"},
            {"book-1", "east-1", "east", "bookdesk"},
            {"book-2", "west-1", "west", "bookdesk"}};
}

} // namespace

TEST(end_to_end, request_reaches_a_backend_server_of_the_configured_service)
{
    local_mesh mesh{11, four_members()};
    ASSERT_TRUE(mesh.wait_for_members());
    const auto report = mesh.apply(1, config_text);
    ASSERT_TRUE(report) << report.reason().message;
    ASSERT_EQ(report->outcome, "accepted") << report->reason;
    ASSERT_TRUE(mesh.wait_for_version(report->version));
    for (std::size_t i = 0; i < mesh.size(); ++i) {
        const auto response = mesh.call(i, "bookdesk", {"POST", "/book", {}, "plug 7"});
        ASSERT_TRUE(response) << response.reason().message;
        EXPECT_EQ(response->status, 200) << response->body;
        EXPECT_EQ(response->body, "POST /book\nplug 7");
        EXPECT_TRUE(find_header(response->headers, "x-backend").starts_with("bookdesk/v1"));
    }
    for (std::size_t i = 0; i < mesh.size(); ++i) {
        mesh.node(i).signal(SIGTERM);
    }
    for (std::size_t i = 0; i < mesh.size(); ++i) {
        EXPECT_EQ(mesh.node(i).wait(), 0);
    }
}

TEST(end_to_end, rejected_configuration_changes_nothing)
{
    local_mesh mesh{12, {{"plug-1", "east-1", "east", "plugboard"}}};
    ASSERT_TRUE(mesh.wait_for_members());
    const auto report = mesh.apply(0, "services: [{name: plugboard, color: red}]");
    ASSERT_TRUE(report) << report.reason().message;
    EXPECT_EQ(report->outcome, "refused");
    EXPECT_GE(report->findings.size(), 3U);
    const auto state = mesh.state(0);
    ASSERT_TRUE(state);
    EXPECT_EQ(state->version, config_version{});
}

} // namespace savorywheel::test
