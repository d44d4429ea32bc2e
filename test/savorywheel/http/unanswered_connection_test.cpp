#include <savorywheel/http/curl_http_client.hpp>

#include <gtest/gtest.h>
#include <support/scripted_server.hpp>
#include <support/wait_until.hpp>

namespace savorywheel::test {

// Guards against a request on a connection with an unanswered one: some backend servers that are
// full never respond to a request, nor to any later one on its connection.
TEST(unanswered_connection, is_closed_after_the_time_limit_and_not_used_again)
{
    scripted_server server{{{"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", false},
                            {"", false},
                            {"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", false}}};
    curl_http_client client;
    const http_request request{"POST", "/", {}, "x"};
    constexpr std::chrono::seconds timeout{10};
    ASSERT_TRUE(client.send(server.endpoint(), request, timeout));
    const auto unanswered = client.send(server.endpoint(), request, std::chrono::milliseconds{200});
    ASSERT_FALSE(unanswered);
    EXPECT_EQ(unanswered.reason().code, failure_code::timeout);
    EXPECT_TRUE(wait_until([&server] { return server.closed_connections() == 1; }));
    const auto next = client.send(server.endpoint(), request, timeout);
    ASSERT_TRUE(next);
    EXPECT_TRUE(next->first_on_connection);
}

} // namespace savorywheel::test
