#include <gtest/gtest.h>
#include <platform/client_headers.hpp>
#include <platform/header_names.hpp>
#include <platform/server_headers.hpp>

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
const http_header signature{std::string{signature_header}, "3e1b.07"};
const http_header not_executed{std::string{not_executed_header}, "1"};

} // namespace

TEST(server_headers, only_a_signed_answer_to_this_request_is_a_success)
{
    const server_headers subject;
    EXPECT_EQ(subject.judge(make_request(), make_response(200, {echo, signature})),
              answer_verdict::whole);
    EXPECT_EQ(subject.judge(make_request(), make_response(200, {echo})), answer_verdict::untrusted);
    EXPECT_EQ(subject.judge(make_request(), make_response(200, {signature})),
              answer_verdict::untrusted);
    const http_header other{std::string{request_id_header}, "id-2"};
    EXPECT_EQ(subject.judge(make_request(), make_response(200, {other, signature})),
              answer_verdict::untrusted);
    EXPECT_EQ(subject.judge(make_request(), make_response(500, {echo, signature})),
              answer_verdict::whole);
}

TEST(server_headers, only_the_server_itself_says_that_it_has_not_run_a_request)
{
    const server_headers subject;
    EXPECT_EQ(subject.judge(make_request(), make_response(503, {not_executed})),
              answer_verdict::not_run);
    EXPECT_EQ(subject.judge(make_request(), make_response(421, {})), answer_verdict::not_run);
    for (const int status : {408, 429, 503}) {
        EXPECT_EQ(subject.judge(make_request(), make_response(status, {echo, signature})),
                  answer_verdict::untrusted);
    }
    const http_header other{std::string{request_id_header}, "id-2"};
    EXPECT_EQ(subject.judge(make_request(), make_response(503, {other, not_executed})),
              answer_verdict::untrusted);
}

TEST(server_headers, a_server_gets_its_identity_and_the_time_that_is_left)
{
    auto request = make_request();
    backend_server backend;
    backend.identity = "i-7f3a";
    server_headers{}.address(request, backend, std::chrono::milliseconds{750});
    EXPECT_EQ(find_header(request.headers, expected_instance_header), "i-7f3a");
    EXPECT_EQ(find_header(request.headers, deadline_header), "750");
}

TEST(client_headers, what_a_client_claims_for_the_mesh_is_replaced)
{
    const client_headers subject{service_name{"huvo"}};
    http_request request = make_request();
    request.headers.push_back({"savorywheel-caller-service", "forged"});
    request.headers.push_back({"Savorywheel-Expected-Instance", "forged"});
    request.headers.push_back({"Savorywheel-Deadline-Ms", "1500"});
    EXPECT_EQ(subject.read(request).patience, std::chrono::milliseconds{1500});
    EXPECT_EQ(subject.read(request).request_id, "id-1");
    subject.forward(request);
    EXPECT_EQ(std::ranges::count(request.headers, "forged", &http_header::value), 0);
    EXPECT_EQ(find_header(request.headers, caller_service_header), "huvo");
    EXPECT_EQ(find_header(request.headers, request_id_header), "id-1");
    EXPECT_EQ(find_header(request.headers, deadline_header), "");
}

TEST(client_headers, a_refused_client_is_told_when_to_come_back)
{
    const client_headers subject{service_name{"huvo"}};
    const auto response =
        subject.reject({rejection_kind::not_run, "queue full", std::chrono::milliseconds{250}});
    EXPECT_EQ(response.status, 503);
    EXPECT_EQ(find_header(response.headers, "Retry-After"), "0.250");
    EXPECT_EQ(subject.reject({rejection_kind::unknown, "reset", {}}).status, 502);
    EXPECT_EQ(subject.reject({rejection_kind::expired, "deadline passed", {}}).status, 504);
}

} // namespace savorywheel::platform::test
