#include <savorywheel/config/mesh_state.hpp>
#include <savorywheel/membership/member_table.hpp>
#include <savorywheel/node/caller_limit_publisher.hpp>
#include <savorywheel/routing/routing_table_builder.hpp>
#include <savorywheel/routing/routing_table_holder.hpp>

#include <gtest/gtest.h>
#include <support/loop_http_server.hpp>
#include <support/loopback_socket.hpp>
#include <support/raw_http_connection.hpp>
#include <support/recording_http_handler.hpp>
#include <unistd.h>

#include <string>

namespace savorywheel::test {

namespace {

constexpr const char* post = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\n0123456789";
constexpr std::chrono::milliseconds second{1000};

class caller_limit_publisher_test : public testing::Test {
protected:
    caller_limit_publisher_test()
    {
        ::close(listen_on_loopback(endpoint_));
        tables_.set_listener(publisher_);
    }

    /** Puts a configuration with these limits in force. */
    void publish(const caller_limits& limits)
    {
        operator_configuration configuration;
        configuration.limits = limits;
        routing_table_builder builder;
        builder.set_state({configuration, config_version{++version_}});
        EXPECT_TRUE(tables_.publish(builder.build(members_)));
    }

    static int status_of_post(raw_http_connection& connection)
    {
        return connection.send(post) ? connection.read_status() : 0;
    }

    network_endpoint endpoint_;
    recording_http_handler handler_;
    http_server_limits defaults_{.max_body_bytes = 15,
                                 .max_buffered_body_bytes = 12,
                                 .idle_timeout = std::chrono::seconds{1}};
    loop_http_server server_{handler_, defaults_};
    caller_limit_publisher publisher_{server_.limits(), defaults_};
    routing_table_holder tables_;
    member_table members_;
    std::uint64_t version_{};
};

} // namespace

TEST_F(caller_limit_publisher_test, body_limit_of_the_configuration_in_force_decides)
{
    ASSERT_TRUE(server_.start(endpoint_));
    raw_http_connection connection{endpoint_};
    EXPECT_EQ(status_of_post(connection), 200);
    publish({{}, 9, {}, {}});
    EXPECT_EQ(status_of_post(connection), 413);
    publish({{}, 10, {}, {}});
    EXPECT_EQ(status_of_post(connection), 200);
    publish({});
    EXPECT_EQ(status_of_post(connection), 200);
}

TEST_F(caller_limit_publisher_test, open_connections_are_kept_for_a_raised_idle_timeout)
{
    ASSERT_TRUE(server_.start(endpoint_));
    raw_http_connection idle{endpoint_};
    raw_http_connection unused{endpoint_};
    EXPECT_EQ(status_of_post(idle), 200);
    publish({{}, {}, {}, 4 * second});
    EXPECT_FALSE(idle.closed_within(4 * second));
    EXPECT_EQ(status_of_post(idle), 200);
    EXPECT_EQ(status_of_post(unused), 200);
    raw_http_connection later{endpoint_};
    EXPECT_EQ(status_of_post(later), 200);
    EXPECT_FALSE(later.closed_within(4 * second));
    EXPECT_EQ(status_of_post(later), 200);
}

TEST_F(caller_limit_publisher_test, a_caller_has_the_header_timeout_between_bytes)
{
    ASSERT_TRUE(server_.start(endpoint_));
    publish({{}, {}, 3 * second, second});
    raw_http_connection connection{endpoint_};
    EXPECT_TRUE(connection.send("GET / HTT"));
    EXPECT_FALSE(connection.closed_within(3 * second));
    EXPECT_TRUE(connection.send("P/1.1\r\nHost: a\r\n\r\n"));
    EXPECT_EQ(connection.read_status(), 200);
}

TEST_F(caller_limit_publisher_test, idle_connections_are_closed_after_the_limit_and_a_margin)
{
    ASSERT_TRUE(server_.start(endpoint_));
    publish({{}, {}, {}, second});
    raw_http_connection connection{endpoint_};
    EXPECT_EQ(status_of_post(connection), 200);
    EXPECT_FALSE(connection.closed_within(second));
    EXPECT_TRUE(connection.closed_within(10 * second));
}

} // namespace savorywheel::test
