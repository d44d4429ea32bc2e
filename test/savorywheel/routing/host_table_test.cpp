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

} // namespace savorywheel::test
