#include <savorywheel/http/curl_http_client.hpp>

#include <gtest/gtest.h>
#include <support/scripted_server.hpp>

#include <chrono>
#include <string>
#include <string_view>

namespace savorywheel::test {

namespace {

constexpr std::chrono::seconds timeout{5};
constexpr std::string_view head_end = "\r\n\r\n";

/** Sends a response cut at each offset of its head, on connections that end in the given way. */
void expect_no_response_within_the_head(std::string_view response, bool reset)
{
    const auto head_bytes = response.find(head_end) + head_end.size();
    for (std::size_t length = 0; length < head_bytes; ++length) {
        scripted_server server{{{std::string{response.substr(0, length)}, true, reset}}};
        curl_http_client client{response_framing::allow_close_delimited};
        const auto result = client.send(server.endpoint(), {"POST", "/a", {}, "x"}, timeout);
        EXPECT_FALSE(result) << length << " bytes of " << response;
        EXPECT_EQ(server.requests(), 1U);
    }
}

} // namespace

TEST(proof_whole_answers, response_cut_within_its_head_is_never_accepted)
{
    for (const std::string_view response :
         {"HTTP/1.1 200 OK\r\nX-Name: value\r\nContent-Length: 5\r\n\r\nhello",
          "HTTP/1.1 200 OK\r\nX-Name: value\r\nTransfer-Encoding: "
          "chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
          "HTTP/1.1 200 OK\r\nX-Name: value\r\nConnection: close\r\n\r\nhello"}) {
        expect_no_response_within_the_head(response, false);
        expect_no_response_within_the_head(response, true);
    }
}

} // namespace savorywheel::test
