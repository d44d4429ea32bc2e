#include <gtest/gtest.h>
#include <platform/header_names.hpp>
#include <platform/platform_caller_header_codec.hpp>
#include <platform/platform_server_header_codec.hpp>

#include <algorithm>

namespace savorywheel::platform::test {

namespace {

http_request make_request()
{
    return {"GET", "/x/1", {{std::string{request_id_header}, "id-1"}}, {}};
}

http_response make_response(int status, std::vector<http_header> headers)
{
    return {status, std::move(headers), "body"};
}

const http_header echo{std::string{request_id_header}, "id-1"};
const http_header other_id{std::string{request_id_header}, "id-2"};
const http_header signature{std::string{signature_header}, "3e1b.07"};
const http_header not_executed{std::string{not_executed_header}, "1"};

} // namespace

TEST(platform_server_header_codec, success_requires_signature_and_matching_request_id)
{
    const platform_server_header_codec subject;
    EXPECT_EQ(subject.verify(make_request(), make_response(200, {echo, signature})),
              response_verdict::complete);
    EXPECT_EQ(subject.verify(make_request(), make_response(200, {echo})),
              response_verdict::untrusted);
    EXPECT_EQ(subject.verify(make_request(), make_response(200, {signature})),
              response_verdict::untrusted);
    EXPECT_EQ(subject.verify(make_request(), make_response(200, {other_id, signature})),
              response_verdict::untrusted);
    EXPECT_EQ(subject.verify(make_request(), make_response(500, {echo, signature})),
              response_verdict::complete);
}

TEST(platform_server_header_codec, failure_requires_signature_and_matching_request_id)
{
    const platform_server_header_codec subject;
    for (const int status : {302, 400, 404, 413, 500, 502, 504}) {
        EXPECT_EQ(subject.verify(make_request(), make_response(status, {echo, signature})),
                  response_verdict::complete)
            << status;
        for (const auto& headers : std::vector<std::vector<http_header>>{
                 {}, {echo}, {signature}, {other_id, signature}}) {
            EXPECT_EQ(subject.verify(make_request(), make_response(status, headers)),
                      response_verdict::untrusted)
                << status;
        }
    }
}

TEST(platform_server_header_codec, bad_request_that_was_not_executed_answers_a_request_without_id)
{
    const platform_server_header_codec subject;
    const auto response = make_response(400, {not_executed});
    EXPECT_EQ(subject.verify({"GET", "/x/1", {}, {}}, response), response_verdict::complete);
    EXPECT_EQ(subject.verify({"GET", "/x/1", {}, {}}, make_response(400, {})),
              response_verdict::untrusted);
    EXPECT_EQ(subject.verify(make_request(), make_response(400, {echo, not_executed})),
              response_verdict::not_run);
    EXPECT_EQ(subject.verify(make_request(), make_response(400, {other_id, not_executed})),
              response_verdict::untrusted);
}

TEST(platform_server_header_codec, not_run_requires_not_executed_header_or_status_421)
{
    const platform_server_header_codec subject;
    EXPECT_EQ(subject.verify(make_request(), make_response(503, {echo, not_executed})),
              response_verdict::not_run);
    EXPECT_EQ(subject.verify(make_request(), make_response(421, {echo})),
              response_verdict::not_run);
    for (const int status : {408, 429, 503}) {
        EXPECT_EQ(subject.verify(make_request(), make_response(status, {echo, signature})),
                  response_verdict::untrusted);
    }
}

TEST(platform_server_header_codec, not_run_requires_matching_id_or_first_on_connection)
{
    const platform_server_header_codec subject;
    for (auto response : {make_response(503, {not_executed}), make_response(421, {})}) {
        EXPECT_EQ(subject.verify(make_request(), response), response_verdict::untrusted);
        response.first_on_connection = true;
        EXPECT_EQ(subject.verify(make_request(), response), response_verdict::not_run);
        response.headers.push_back(other_id);
        EXPECT_EQ(subject.verify(make_request(), response), response_verdict::untrusted);
        response.headers.push_back(echo);
        EXPECT_EQ(subject.verify(make_request(), response), response_verdict::untrusted);
    }
}

TEST(platform_server_header_codec, origin_shows_the_named_request_and_the_signature)
{
    const platform_server_header_codec subject;
    const auto own = subject.origin_of(make_request(), make_response(404, {echo}));
    EXPECT_EQ(own.request, named_request::own);
    EXPECT_FALSE(own.is_signed);
    EXPECT_EQ(subject.origin_of(make_request(), make_response(404, {other_id})).request,
              named_request::other);
    EXPECT_EQ(subject.origin_of(make_request(), make_response(404, {echo, other_id})).request,
              named_request::other);
    const auto unnamed = subject.origin_of(make_request(), make_response(404, {signature}));
    EXPECT_EQ(unnamed.request, named_request::none);
    EXPECT_TRUE(unnamed.is_signed);
}

TEST(platform_server_header_codec, adds_expected_instance_and_remaining_time)
{
    auto request = make_request();
    backend_server backend;
    backend.identity = "i-7f3a";
    platform_server_header_codec{}.add_headers(request, backend, std::chrono::milliseconds{750});
    EXPECT_EQ(find_header(request.headers, expected_instance_header), "i-7f3a");
    EXPECT_EQ(find_header(request.headers, deadline_header), "750");
}

TEST(platform_caller_header_codec, replaces_node_only_headers_sent_by_the_client)
{
    const platform_caller_header_codec subject{service_name{"huvo"}};
    http_request request = make_request();
    request.headers.push_back({"savorywheel-caller-service", "forged"});
    request.headers.push_back({"Savorywheel-Expected-Instance", "forged"});
    request.headers.push_back({"Savorywheel-Deadline-Ms", "1500"});
    EXPECT_EQ(subject.read(request).timeout, std::chrono::milliseconds{1500});
    EXPECT_EQ(subject.read(request).request_id, "id-1");
    subject.rewrite_headers(request);
    EXPECT_EQ(std::ranges::count(request.headers, "forged", &http_header::value), 0);
    EXPECT_EQ(find_header(request.headers, caller_service_header), "huvo");
    EXPECT_EQ(find_header(request.headers, request_id_header), "id-1");
    EXPECT_EQ(find_header(request.headers, deadline_header), "");
}

TEST(platform_caller_header_codec, rejection_carries_status_and_retry_after)
{
    const platform_caller_header_codec subject{service_name{"huvo"}};
    const auto response =
        subject.reject({rejection_kind::not_run, "queue full", std::chrono::milliseconds{250}});
    EXPECT_EQ(response.status, 503);
    EXPECT_EQ(find_header(response.headers, "Retry-After"), "0.250");
    EXPECT_EQ(subject.reject({rejection_kind::unknown, "reset", {}}).status, 502);
    EXPECT_EQ(subject.reject({rejection_kind::expired, "deadline passed", {}}).status, 504);
}

TEST(platform_caller_header_codec, tenant_replaces_the_key_and_what_the_caller_claims)
{
    const platform_caller_header_codec subject{service_name{"callers"}};
    http_request request{"GET",
                         "/x/1",
                         {{"savorywheel-KEY", "k-1"},
                          {"Savorywheel-Tenant-Id", "bank"},
                          {"Savorywheel-Key", "k-2"},
                          {"savorywheel-tenant-id", "shop"}},
                         {}};
    EXPECT_EQ(subject.read(request).key, "k-1");
    subject.set_tenant(request, tenant_name{"clinic"});
    EXPECT_EQ(find_header_value(request.headers, "Savorywheel-Key"), std::nullopt);
    EXPECT_EQ(std::ranges::count_if(request.headers,
                                    [](const auto& header) {
                                        return equal_ignoring_case(header.name,
                                                                   "Savorywheel-Tenant-Id");
                                    }),
              1);
    EXPECT_EQ(find_header(request.headers, "Savorywheel-Tenant-Id"), "clinic");
    subject.set_tenant(request, {});
    EXPECT_EQ(find_header_value(request.headers, "Savorywheel-Tenant-Id"), std::nullopt);
}

// Without tenants in the configuration, the proxy does not call set_tenant().
TEST(platform_caller_header_codec, rewriting_alone_keeps_the_headers_of_tenants)
{
    const platform_caller_header_codec subject{service_name{"callers"}};
    http_request request{
        "GET", "/x/1", {{"Savorywheel-Key", "k-1"}, {"Savorywheel-Tenant-Id", "bank"}}, {}};
    subject.rewrite_headers(request);
    EXPECT_EQ(find_header(request.headers, "Savorywheel-Key"), "k-1");
    EXPECT_EQ(find_header(request.headers, "Savorywheel-Tenant-Id"), "bank");
}

} // namespace savorywheel::platform::test
