#include <savorywheel/http/http_server.hpp>

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <support/loop_http_server.hpp>
#include <support/loopback_socket.hpp>
#include <support/raw_http_connection.hpp>
#include <support/recording_http_handler.hpp>
#include <support/wait_until.hpp>
#include <unistd.h>

#include <mutex>
#include <string>
#include <vector>

namespace savorywheel::test {

namespace {

constexpr std::chrono::milliseconds close_limit{5000};

/** Records the statuses of responses that the handler did not give. */
class status_recorder final : public http_server_listener {
public:
    void on_rejected(int status, std::string_view /*target*/, std::string_view /*reason*/) override
    {
        const std::scoped_lock lock{mutex_};
        statuses_.push_back(status);
    }

    void on_library_error(std::string_view /*message*/) override {}

    std::vector<int> statuses()
    {
        const std::scoped_lock lock{mutex_};
        return statuses_;
    }

private:
    std::mutex mutex_;
    std::vector<int> statuses_;
};

template<typename Server>
class http_body_limit : public testing::Test {
protected:
    http_body_limit() { ::close(listen_on_loopback(endpoint_)); }

    network_endpoint endpoint_;
    recording_http_handler handler_;
    status_recorder listener_;
    Server server_{handler_, {.max_body_bytes = 3000, .max_buffered_body_bytes = 2000}, &listener_};
};

using servers = testing::Types<http_server, loop_http_server>;
TYPED_TEST_SUITE(http_body_limit, servers);

std::string post_with_length(std::size_t size)
{
    return fmt::format("POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: {}\r\n\r\n{}", size,
                       std::string(size, 'x'));
}

std::string post_in_chunks(std::size_t size)
{
    return fmt::format("POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
                       "{:x}\r\n{}\r\n0\r\n\r\n",
                       size, std::string(size, 'x'));
}

} // namespace

TYPED_TEST(http_body_limit, only_a_body_above_the_limit_is_too_large)
{
    ASSERT_TRUE(this->server_.start(this->endpoint_));
    raw_http_connection connection{this->endpoint_};
    const auto status_of = [&connection](const std::string& request) {
        return connection.send(request) ? connection.read_status() : 0;
    };
    EXPECT_EQ(status_of(post_with_length(2000)), 200);
    EXPECT_EQ(status_of(post_in_chunks(2000)), 200);
    EXPECT_EQ(status_of(post_with_length(2001)), 503);
    EXPECT_EQ(status_of(post_with_length(3000)), 503);
    EXPECT_EQ(status_of(post_in_chunks(3000)), 503);
    EXPECT_EQ(status_of(post_with_length(3001)), 413);
    EXPECT_EQ(status_of(post_with_length(100'000)), 413);
    EXPECT_EQ(status_of(post_with_length(1)), 200);
    EXPECT_EQ(this->handler_.take().size(), 3U);
    EXPECT_EQ(this->listener_.statuses(), (std::vector<int>{503, 503, 503, 413, 413}));
}

TYPED_TEST(http_body_limit, a_caller_that_leaves_within_its_body_gets_no_status)
{
    ASSERT_TRUE(this->server_.start(this->endpoint_));
    for (const auto& request : {post_with_length(100), post_in_chunks(100)}) {
        raw_http_connection connection{this->endpoint_};
        EXPECT_TRUE(connection.send(std::string_view{request}.substr(0, request.size() - 20)));
    }
    raw_http_connection connection{this->endpoint_};
    EXPECT_TRUE(connection.send(post_with_length(1)));
    EXPECT_EQ(connection.read_status(), 200);
    this->server_.stop();
    EXPECT_EQ(this->handler_.take().size(), 1U);
    EXPECT_TRUE(this->listener_.statuses().empty());
}

TYPED_TEST(http_body_limit, conflicting_lengths_are_a_bad_request_and_close_the_connection)
{
    ASSERT_TRUE(this->server_.start(this->endpoint_));
    for (const std::string fields : {"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
                                     "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n"}) {
        raw_http_connection connection{this->endpoint_};
        EXPECT_TRUE(connection.send("POST /a HTTP/1.1\r\nHost: a\r\n" + fields +
                                    "\r\n5\r\nabcde\r\n0\r\n\r\n"));
        EXPECT_EQ(connection.read_status(), 400) << fields;
        EXPECT_TRUE(connection.closed_within(close_limit)) << fields;
    }
    EXPECT_TRUE(this->handler_.take().empty());
}

TYPED_TEST(http_body_limit, a_length_that_is_no_number_is_never_taken_for_zero)
{
    ASSERT_TRUE(this->server_.start(this->endpoint_));
    for (const std::string length : {"abc", "-1", "+3", "3x", "0x3", "", "3, 4"}) {
        raw_http_connection connection{this->endpoint_};
        EXPECT_TRUE(connection.send("POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: " + length +
                                    "\r\n\r\nabc"));
        EXPECT_EQ(connection.read_status(), 400) << length;
    }
    for (const std::string length : {"18446744073709551616", "99999999999999999999999999"}) {
        raw_http_connection connection{this->endpoint_};
        EXPECT_TRUE(connection.send("POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: " + length +
                                    "\r\n\r\nabc"));
        EXPECT_EQ(connection.read_status(), 413) << length;
    }
    raw_http_connection repeated{this->endpoint_};
    EXPECT_TRUE(repeated.send("POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
                              "Content-Length: 4\r\n\r\nabcd"));
    EXPECT_EQ(repeated.read_status(), 400);
    EXPECT_TRUE(this->handler_.take().empty());
}

} // namespace savorywheel::test
