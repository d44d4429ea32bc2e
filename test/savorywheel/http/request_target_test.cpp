#include <savorywheel/http/request_target.hpp>

#include <gtest/gtest.h>

#include <array>
#include <vector>

namespace savorywheel::test {

namespace {

http_request make_request(const std::string& target)
{
    return {"GET", target, {{"Accept", "*/*"}, {"host", "other.example"}}, {}};
}

} // namespace

TEST(request_target, absolute_form_becomes_origin_form_with_its_authority_as_host)
{
    const std::vector<std::array<std::string, 3>> cases{
        {"http://a.example/x/?q=1", "a.example", "/x/?q=1"},
        {"HTTP://a.example:8080/x//y", "a.example:8080", "/x//y"},
        {"https://[::1]:80/%2f", "[::1]:80", "/%2f"},
        {"http://a.example", "a.example", "/"},
        {"http://a.example?q=/1", "a.example", "/?q=/1"},
    };
    for (const auto& [target, host, path] : cases) {
        auto request = make_request(target);
        make_origin_form(request);
        EXPECT_EQ(request.target, path) << target;
        ASSERT_EQ(request.headers.size(), 2U) << target;
        EXPECT_EQ(find_header(request.headers, "Host"), host) << target;
    }
}

TEST(request_target, other_forms_are_unchanged)
{
    for (const auto* target : {"/x?u=http://b.example/", "//b.example/x", "*", "", "http:/x",
                               "a.example:80", "ftp://a.example/x", "http://", "http:///x"}) {
        auto request = make_request(target);
        make_origin_form(request);
        EXPECT_EQ(request.target, target);
        EXPECT_EQ(find_header(request.headers, "Host"), "other.example");
    }
}

TEST(request_target, absolute_form_without_a_host_field_gets_one)
{
    http_request request{"GET", "http://a.example/x", {}, {}};
    make_origin_form(request);
    EXPECT_EQ(find_header(request.headers, "Host"), "a.example");
}

} // namespace savorywheel::test
