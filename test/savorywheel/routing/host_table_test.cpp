#include <savorywheel/routing/host_table.hpp>

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace savorywheel::test {

namespace {

host_route make_route(const std::string& path)
{
    host_route route;
    route.path = path;
    route.shares = {{service_name{path}, 1}};
    return route;
}

} // namespace

TEST(host_table, longest_path_prefix_wins)
{
    const std::vector<virtual_host> hosts{
        {"a.example", {make_route("/x/"), make_route("/x/y/"), make_route("/z/")}},
        {"b.example", {make_route("/x/y/w/")}}};
    const host_table table{hosts};
    EXPECT_EQ(table.match("a.example", "/x/y/w/1")->path, "/x/y/");
    EXPECT_EQ(table.match("a.example:8080", "/x/1?q=/x/y/")->path, "/x/");
    EXPECT_EQ(table.match("a.example", "/q/"), nullptr);
    EXPECT_EQ(table.match("a.example", "/x"), nullptr);
    EXPECT_EQ(table.match("c.example", "/x/"), nullptr);
}

// A public route of the mesh's own text needed an API key.
TEST(host_table, routes_of_a_service_are_public_where_its_text_says_so)
{
    auto state = std::make_shared<service_state>();
    state->spec.name = service_name{"desk"};
    state->spec.routes = {{"/closed", true, std::chrono::milliseconds{1000}, {}},
                          {"/open", true, std::chrono::milliseconds{1000}, {}, true}};
    const host_table table{mesh_state::service_map{{state->spec.name, state}}};
    EXPECT_FALSE(table.match("desk", "/closed")->is_public);
    EXPECT_TRUE(table.match("desk", "/open")->is_public);
}

TEST(host_table, agrees_with_linear_search)
{
    EXPECT_TRUE(rc::check([] {
        std::vector<host_route> routes;
        for (int i = *rc::gen::inRange(1, 10); i > 0; --i) {
            std::string path = "/";
            for (int part = *rc::gen::inRange(0, 4); part > 0; --part) {
                path += *rc::gen::element('a', 'b');
                path += '/';
            }
            routes.push_back(make_route(path));
        }
        std::string target = "/";
        for (int part = *rc::gen::inRange(0, 5); part > 0; --part) {
            target += *rc::gen::element('a', 'b');
            target += '/';
        }
        const host_route* longest = nullptr;
        for (const auto& route : routes) {
            if (target.starts_with(route.path) &&
                (longest == nullptr || route.path.size() > longest->path.size())) {
                longest = &route;
            }
        }
        const host_table table{std::vector<virtual_host>{{"h", routes}}};
        const auto* found = table.match("h", target);
        // Every path contains a slash, so an empty string represents no route.
        const auto path_of = [](const host_route* route) {
            return route == nullptr ? std::string{} : route->path;
        };
        RC_ASSERT(path_of(found) == path_of(longest));
    }));
}

TEST(host_table, hosts_match_without_case_port_and_trailing_dot)
{
    const host_table table{std::vector<virtual_host>{{"A.example", {make_route("/x/")}},
                                                     {"c.example.", {make_route("/x/")}}}};
    for (const auto* host : {"A.example", "a.example", "a.EXAMPLE:8080", "a.example.",
                             "a.example.:80", "a.example:", "c.example", "C.example."}) {
        EXPECT_NE(table.match(host, "/x/"), nullptr) << host;
        EXPECT_EQ(table.routes_of(host), 1U) << host;
    }
    for (const auto* host : {"", ".", ":80", "example", "a.example..", "xa.example", "a.exampl",
                             "a.example.com", "a-example"}) {
        EXPECT_EQ(table.match(host, "/x/"), nullptr) << host;
    }
}

TEST(host_table, address_literals_match_with_and_without_port)
{
    const host_table table{std::vector<virtual_host>{{"[fd00::1]", {make_route("/x/")}},
                                                     {"10.0.0.1", {make_route("/x/")}}}};
    for (const auto* host : {"[fd00::1]", "[FD00::1]:8080", "10.0.0.1", "10.0.0.1:80"}) {
        EXPECT_NE(table.match(host, "/x/"), nullptr) << host;
    }
    for (const auto* host : {"[fd00::2]", "[fd00::1", "[", "[]", "fd00"}) {
        EXPECT_EQ(table.match(host, "/x/"), nullptr) << host;
    }
}

TEST(host_table, entries_of_the_same_host_are_merged)
{
    const host_table table{std::vector<virtual_host>{
        {"a.example", {make_route("/x/"), make_route("/y/")}},
        {"b.example", {make_route("/z/")}},
        {"A.Example.", {make_route("/x/w/"), make_route("/")}},
    }};
    EXPECT_EQ(table.routes_of("a.example"), 4U);
    EXPECT_EQ(table.match("a.example", "/x/w/1")->path, "/x/w/");
    EXPECT_EQ(table.match("a.example", "/x/1")->path, "/x/");
    EXPECT_EQ(table.match("a.example", "/y/1")->path, "/y/");
    EXPECT_EQ(table.match("a.example", "/z/1")->path, "/");
}

TEST(host_table, path_is_compared_as_written_and_without_the_query)
{
    const host_table table{
        std::vector<virtual_host>{{"a.example", {make_route("/x/"), make_route("/x/y/")}}}};
    EXPECT_EQ(table.match("a.example", "/x/?p=/x/y/")->path, "/x/");
    EXPECT_EQ(table.match("a.example", "/x/y/?")->path, "/x/y/");
    EXPECT_EQ(table.match("a.example", "/x?/y/"), nullptr);
    EXPECT_EQ(table.match("a.example", "/X/"), nullptr);
    EXPECT_EQ(table.match("a.example", "/%78/"), nullptr);
    EXPECT_EQ(table.match("a.example", "/x%2Fy/"), nullptr);
    EXPECT_EQ(table.match("a.example", "/x//y/")->path, "/x/");
    EXPECT_EQ(table.match("a.example", ""), nullptr);
    EXPECT_EQ(table.match("a.example", "*"), nullptr);
}

} // namespace savorywheel::test
