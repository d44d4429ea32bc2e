#include <fmt/format.h>
#include <gtest/gtest.h>
#include <support/loop_http_server.hpp>
#include <support/loopback_socket.hpp>
#include <support/raw_http_connection.hpp>
#include <support/recording_http_handler.hpp>
#include <support/wait_until.hpp>
#include <unistd.h>

#include <atomic>
#include <memory>
#include <string>
#include <vector>

namespace savorywheel::test {

namespace {

constexpr std::size_t kib = 1024;
constexpr std::size_t mib = 1024 * kib;
constexpr std::chrono::milliseconds close_limit{20'000};

/** Counts what happened to callers. */
class counting_listener final : public http_server_listener {
public:
    void on_rejected(int /*status*/, std::string_view /*target*/,
                     std::string_view /*reason*/) override
    {
    }
    void on_out_of_memory(std::string_view /*reason*/) override { ++out_of_memory; }
    void on_evicted(std::string_view /*reason*/) override { ++evicted; }
    void on_header_timeout(std::string_view /*reason*/) override { ++header_timeouts; }
    void on_library_error(std::string_view /*message*/) override {}

    std::atomic<int> out_of_memory;
    std::atomic<int> evicted;
    std::atomic<int> header_timeouts;
};

class caller_memory : public testing::Test {
protected:
    caller_memory() { ::close(listen_on_loopback(endpoint_)); }

    void start(const http_server_limits& limits)
    {
        server_ = std::make_unique<loop_http_server>(handler_, limits, &listener_);
        ASSERT_TRUE(server_->start(endpoint_));
    }

    static std::string post(std::size_t announced, std::size_t sent)
    {
        return fmt::format("POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: {}\r\n\r\n{}", announced,
                           std::string(sent, 'x'));
    }

    network_endpoint endpoint_;
    recording_http_handler handler_;
    counting_listener listener_;
    std::unique_ptr<loop_http_server> server_;
};

} // namespace

// Guards against a limit that refuses a legal request without load: the largest body that is held,
// and the most fields that a header of 16,384 bytes can have.
TEST_F(caller_memory, the_largest_requests_are_served_without_load)
{
    start({});
    for (int i = 0; i < 3; ++i) {
        raw_http_connection connection{endpoint_};
        EXPECT_TRUE(connection.send(post(8 * mib, 8 * mib)));
        EXPECT_EQ(connection.read_status(), 200);
    }
    std::string fields = "GET / HTTP/1.1\r\nHost: a\r\n";
    while (fields.size() < 16'380) {
        fields += "a:\r\n";
    }
    raw_http_connection connection{endpoint_};
    EXPECT_TRUE(connection.send(fields + "\r\n"));
    EXPECT_EQ(connection.read_status(), 200);
    EXPECT_EQ(handler_.take().size(), 4U);
    EXPECT_EQ(listener_.out_of_memory + listener_.evicted, 0);
}

// Guards against a refused request that runs: its body does not fit, so the handler never gets it.
TEST_F(caller_memory, a_body_without_memory_is_refused_and_never_passed_on)
{
    start({.max_memory_bytes = 512 * kib});
    raw_http_connection connection{endpoint_};
    EXPECT_TRUE(connection.send(post(800 * kib, 800 * kib)));
    EXPECT_EQ(connection.read_status(), 503);
    EXPECT_TRUE(connection.send(post(1, 1)));
    EXPECT_EQ(connection.read_status(), 200);
    EXPECT_EQ(handler_.take().size(), 1U);
    EXPECT_EQ(listener_.out_of_memory, 1);
}

// Guards against a chunked body without an end, which is read for as long as it is sent.
TEST_F(caller_memory, an_endless_body_ends_its_connection)
{
    start({.max_buffered_body_bytes = 64 * kib});
    raw_http_connection connection{endpoint_};
    EXPECT_TRUE(
        connection.send("POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"));
    const auto chunk = fmt::format("{:x}\r\n{}\r\n", 64 * kib, std::string(64 * kib, 'x'));
    EXPECT_TRUE(wait_until([&] { return !connection.send(chunk); }));
    EXPECT_TRUE(handler_.take().empty());
}

// Guards against bodies that are held although nothing reads them, as at the readiness endpoint.
TEST_F(caller_memory, a_body_that_is_not_needed_takes_no_memory)
{
    start({.max_memory_bytes = 256 * kib, .discards_bodies = true});
    raw_http_connection connection{endpoint_};
    EXPECT_TRUE(connection.send(post(4 * mib, 4 * mib)));
    EXPECT_EQ(connection.read_status(), 200);
    const auto requests = handler_.take();
    ASSERT_EQ(requests.size(), 1U);
    EXPECT_TRUE(requests.front().body.empty());
}

// Guards against connections that stop within a header and are kept for the idle timeout, also if
// they send a byte now and then.
TEST_F(caller_memory, an_unfinished_header_closes_the_connection_and_an_idle_one_stays)
{
    start({.header_timeout = std::chrono::milliseconds{300}});
    raw_http_connection idle{endpoint_};
    EXPECT_TRUE(idle.send(post(1, 1)));
    EXPECT_EQ(idle.read_status(), 200);
    raw_http_connection slow{endpoint_};
    EXPECT_TRUE(slow.send("GET / HTTP/1.1\r\nHost: a\r\nb: "));
    EXPECT_TRUE(wait_until([&] { return !slow.send("x"); }));
    EXPECT_EQ(listener_.header_timeouts, 1);
    EXPECT_TRUE(idle.send(post(1, 1)));
    EXPECT_EQ(idle.read_status(), 200);
}

// Guards against clients that stopped half-way and take all places for connections.
TEST_F(caller_memory, a_new_connection_takes_the_place_of_one_that_stopped)
{
    start({.max_connections = 4});
    std::vector<std::unique_ptr<raw_http_connection>> stopped;
    for (int i = 0; i < 4; ++i) {
        stopped.push_back(std::make_unique<raw_http_connection>(endpoint_));
        EXPECT_TRUE(stopped.back()->send("GET / HTT"));
    }
    const auto is_served = [this] {
        raw_http_connection connection{endpoint_};
        return connection.send(post(1, 1)) && connection.read_status() == 200;
    };
    EXPECT_TRUE(wait_until(is_served));
    EXPECT_TRUE(stopped.front()->closed_within(close_limit));
    EXPECT_GE(listener_.evicted, 1);
}

} // namespace savorywheel::test
