#include <savorywheel/http/curl_http_client.hpp>

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <support/scripted_server.hpp>

#include <chrono>
#include <string>

namespace savorywheel::test {

/** Guards against answers that are not HTTP responses: a status is 100 to 599 (RFC 9110, 15). */
TEST(invalid_status, is_never_a_response)
{
    for (const std::string status : {"000", "099", "600", "999", "1000", "20", "2x0", "-20", "2000",
                                     "", "0", "+20", "200x", "20 0"}) {
        for (const std::string rest : {" OK\r\nContent-Length: 5\r\n\r\nhello",
                                       "\r\nContent-Length: 5\r\n\r\nhello", " OK\r\n\r\nhello"}) {
            const auto line = fmt::format("HTTP/1.1 {}{}", status, rest);
            for (const auto framing :
                 {response_framing::explicit_only, response_framing::allow_close_delimited}) {
                scripted_server server{{{line}}};
                curl_http_client client{framing};
                const auto result = client.send(server.endpoint(), {"POST", "/a", {}, "x"},
                                                std::chrono::seconds{1});
                EXPECT_FALSE(result) << line << " as " << (result ? result->status : 0);
                if (!result) {
                    EXPECT_NE(result.reason().code, failure_code::unavailable) << line;
                }
            }
        }
    }
}

/** Guards against a check that refuses the statuses at the ends of the range. */
TEST(invalid_status, ends_of_the_range_are_accepted)
{
    for (const std::string line : {"HTTP/1.1 200 OK", "HTTP/1.1 200", "HTTP/1.1 599 ",
                                   "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 400 Bad Request"}) {
        scripted_server server{{{line + "\r\nContent-Length: 5\r\n\r\nhello"}}};
        curl_http_client client;
        EXPECT_TRUE(
            client.send(server.endpoint(), {"POST", "/a", {}, "x"}, std::chrono::seconds{3}))
            << line;
    }
}

} // namespace savorywheel::test
