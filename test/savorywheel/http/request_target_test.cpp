#include <savorywheel/http/http_header.hpp>
#include <savorywheel/http/request_target.hpp>

#include <gtest/gtest.h>

namespace savorywheel::test {

namespace {

http_request make_origin_form_of(std::string target)
{
    http_request request{"GET", std::move(target), {{"Host", "other"}}, {}};
    make_origin_form(request);
    return request;
}

} // namespace

TEST(request_target, authority_of_an_absolute_target_replaces_the_host)
{
    const auto request = make_origin_form_of("HTTPS://bookdesk:80/x?y");
    EXPECT_EQ(request.target, "/x?y");
    EXPECT_EQ(find_header(request.headers, "Host"), "bookdesk:80");
    EXPECT_EQ(request.headers.size(), 1U);
    http_request without_host{"GET", "http://bookdesk", {}, {}};
    make_origin_form(without_host);
    EXPECT_EQ(without_host.target, "/");
    EXPECT_EQ(find_header(without_host.headers, "Host"), "bookdesk");
}

TEST(request_target, other_forms_stay_as_they_are)
{
    for (const auto* target : {"/x?u=http://a/b", "*", "a:80", "http:///x", ""}) {
        const auto request = make_origin_form_of(target);
        EXPECT_EQ(request.target, target);
        EXPECT_EQ(find_header(request.headers, "Host"), "other");
    }
}

} // namespace savorywheel::test
