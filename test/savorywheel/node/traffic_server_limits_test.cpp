#include <savorywheel/node/traffic_server_limits.hpp>

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <support/loop_http_server.hpp>
#include <support/loopback_socket.hpp>
#include <support/raw_http_connection.hpp>
#include <support/recording_http_handler.hpp>
#include <unistd.h>

namespace savorywheel::test {

TEST(traffic_server_limits, long_body_is_not_run_while_no_configuration_limits_it)
{
    network_endpoint endpoint;
    ::close(listen_on_loopback(endpoint));
    recording_http_handler handler;
    const auto limits = traffic_server_limits({});
    loop_http_server server{handler, limits};
    ASSERT_TRUE(server.start(endpoint));
    raw_http_connection connection{endpoint};
    const std::string body(limits.max_buffered_body_bytes + 1, 'x');
    ASSERT_TRUE(connection.send(fmt::format(
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: {}\r\n\r\n{}", body.size(), body)));
    EXPECT_EQ(connection.read_status(), 503);
    EXPECT_TRUE(handler.take().empty());
}

} // namespace savorywheel::test
