#include <savorywheel/http/curl_http_client.hpp>

#include <gtest/gtest.h>
#include <support/early_response_server.hpp>
#include <support/wait_until.hpp>

#include <algorithm>

namespace savorywheel::test {

namespace {

constexpr std::chrono::seconds timeout{5};
constexpr std::chrono::milliseconds short_timeout{500};
/** Above the time after which a connection with unacknowledged data is closed. */
constexpr std::chrono::seconds long_pause{60};
/** More than the socket buffers of both sides hold. */
constexpr std::size_t body_bytes = 16UL * 1024UL * 1024UL;

const http_request& long_request()
{
    static const http_request request{"POST", "/upload", {}, std::string(body_bytes, 'b')};
    return request;
}

/** @return A success and an error with the given fields and body. */
std::vector<std::string> early_responses(const std::string& rest)
{
    return {"HTTP/1.1 200 OK\r\n" + rest, "HTTP/1.1 413 Too Large\r\n" + rest};
}

bool is_hello(const outcome<http_response>& response)
{
    return response && response->body == "hello";
}

/** @return True if only bytes of the first body arrived where that body was due. */
bool body_is_intact(std::string_view received)
{
    return received.substr(0, body_bytes).find_first_not_of('b') == std::string_view::npos;
}

} // namespace

TEST(early_response, rest_of_a_body_is_never_replaced_by_another_request)
{
    for (const std::string rest : {"Content-Length: 5\r\n\r\nhello",
                                   "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"}) {
        for (const auto& response : early_responses(rest)) {
            early_response_server server{response, std::chrono::milliseconds{100}};
            {
                curl_http_client client;
                EXPECT_TRUE(is_hello(client.send(server.endpoint(), long_request(), timeout)));
                // Gets no response on a kept connection.
                static_cast<void>(client.send(server.endpoint(), long_request(), short_timeout));
            }
            ASSERT_TRUE(wait_until([&server] { return server.all_closed(); }));
            EXPECT_TRUE(std::ranges::all_of(server.received(), body_is_intact)) << response;
        }
    }
}

TEST(early_response, is_delivered_if_sending_the_rest_of_the_body_fails)
{
    for (const auto& response : early_responses("Content-Length: 5\r\n\r\nhello")) {
        early_response_server server{response, long_pause};
        curl_http_client client;
        for (std::size_t connections = 1; connections <= 2; ++connections) {
            EXPECT_TRUE(is_hello(client.send(server.endpoint(), long_request(), timeout)));
            EXPECT_EQ(server.received().size(), connections) << response;
        }
    }
}

TEST(early_response, part_of_a_response_is_not_delivered_if_sending_fails)
{
    for (const auto& response : early_responses("Content-Length: 6\r\n\r\nhello")) {
        early_response_server server{response, long_pause};
        curl_http_client client;
        const auto result = client.send(server.endpoint(), long_request(), timeout);
        ASSERT_FALSE(result) << response;
        EXPECT_NE(result.reason().code, failure_code::unavailable);
    }
}

} // namespace savorywheel::test
