#include <savorywheel/http/async_http_server.hpp>

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <support/loop_http_server.hpp>
#include <support/loopback_socket.hpp>
#include <support/raw_http_connection.hpp>
#include <support/wait_until.hpp>
#include <unistd.h>

#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <utility>

namespace savorywheel::test {

namespace {

constexpr std::chrono::milliseconds close_limit{5000};
constexpr int pipeline_length = 10;

/** Keeps requests until the test responds to them by their target. */
class held_requests final : public async_http_handler {
public:
    void start(http_request request, const std::shared_ptr<cancellation>& /*cancel_signal*/,
               responder respond) override
    {
        const std::scoped_lock lock{mutex_};
        held_.emplace(request.target, std::move(respond));
    }

    [[nodiscard]] bool holds(const std::string& target)
    {
        const std::scoped_lock lock{mutex_};
        return held_.contains(target);
    }

    [[nodiscard]] bool wait_for(const std::string& target)
    {
        return wait_until([this, &target] { return holds(target); });
    }

    void respond(const std::string& target, int status)
    {
        responder respond;
        {
            const std::scoped_lock lock{mutex_};
            respond = held_.extract(target).mapped();
        }
        respond({status, {}, target});
    }

private:
    std::mutex mutex_;
    std::map<std::string, responder> held_;
};

std::string get(int number)
{
    return fmt::format("GET /{} HTTP/1.1\r\nHost: a\r\n\r\n", number);
}

std::string target_of(int number)
{
    return fmt::format("/{}", number);
}

class pipelined_connection : public testing::Test {
protected:
    pipelined_connection()
    {
        ::close(listen_on_loopback(endpoint_));
        EXPECT_TRUE(server_.start(endpoint_));
    }

    /** Sends a pipeline of safe requests and waits until all of them run. */
    void send_pipeline(const raw_http_connection& connection)
    {
        for (int i = 0; i < pipeline_length; ++i) {
            EXPECT_TRUE(connection.send(get(i)));
        }
        EXPECT_TRUE(handler_.wait_for(target_of(pipeline_length - 1)));
    }

    network_endpoint endpoint_;
    held_requests handler_;
    loop_http_server server_{handler_,
                             {.drain_idle = std::chrono::milliseconds{100},
                              .drain_limit = std::chrono::milliseconds{2000}}};
};

} // namespace

TEST_F(pipelined_connection, a_failure_in_any_place_keeps_all_responses_in_order)
{
    for (int failing = 0; failing < pipeline_length; ++failing) {
        raw_http_connection connection{endpoint_};
        send_pipeline(connection);
        for (int i = pipeline_length - 1; i >= 0; --i) {
            handler_.respond(target_of(i), i == failing ? 504 : 200);
        }
        for (int i = 0; i < pipeline_length; ++i) {
            EXPECT_EQ(connection.read_status(), i == failing ? 504 : 200);
            EXPECT_EQ(connection.body(), target_of(i));
        }
    }
}

TEST_F(pipelined_connection, malformed_request_gets_its_400_behind_the_responses_before_it)
{
    raw_http_connection connection{endpoint_};
    EXPECT_TRUE(connection.send(get(0) + get(1) + "GET /2 HTTP/1.1\r\nHost\r\n\r\n" + get(3)));
    ASSERT_TRUE(handler_.wait_for("/1"));
    handler_.respond("/1", 200);
    handler_.respond("/0", 200);
    EXPECT_EQ(connection.read_status(), 200);
    EXPECT_EQ(connection.read_status(), 200);
    EXPECT_EQ(connection.read_status(), 400);
    EXPECT_TRUE(connection.closed_within(close_limit));
    EXPECT_FALSE(handler_.holds("/3"));
}

TEST_F(pipelined_connection, a_request_behind_a_closing_response_is_not_run)
{
    raw_http_connection connection{endpoint_};
    EXPECT_TRUE(connection.send("GET /0 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
                                "POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n"));
    ASSERT_TRUE(handler_.wait_for("/0"));
    handler_.respond("/0", 200);
    EXPECT_EQ(connection.read_status(), 200);
    EXPECT_TRUE(connection.closed_within(close_limit));
    EXPECT_FALSE(handler_.holds("/1"));
}

TEST_F(pipelined_connection, unsafe_request_waits_for_the_responses_before_it)
{
    raw_http_connection connection{endpoint_};
    EXPECT_TRUE(
        connection.send(get(0) + "POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nx"));
    ASSERT_TRUE(handler_.wait_for("/0"));
    std::this_thread::sleep_for(std::chrono::milliseconds{20});
    EXPECT_FALSE(handler_.holds("/1"));
    handler_.respond("/0", 200);
    EXPECT_EQ(connection.read_status(), 200);
    ASSERT_TRUE(handler_.wait_for("/1"));
    handler_.respond("/1", 200);
    EXPECT_EQ(connection.read_status(), 200);
}

TEST_F(pipelined_connection, stop_answers_all_requests_that_were_passed_on)
{
    raw_http_connection connection{endpoint_};
    send_pipeline(connection);
    std::thread stopping{[this] { server_.stop(); }};
    std::this_thread::sleep_for(std::chrono::milliseconds{20});
    for (int i = pipeline_length - 1; i >= 0; --i) {
        handler_.respond(target_of(i), 200);
    }
    for (int i = 0; i < pipeline_length; ++i) {
        EXPECT_EQ(connection.read_status(), 200);
        EXPECT_EQ(connection.body(), target_of(i));
    }
    EXPECT_TRUE(connection.closed_within(close_limit));
    stopping.join();
}

TEST_F(pipelined_connection, response_before_a_long_body_is_delivered)
{
    raw_http_connection connection{endpoint_};
    constexpr std::size_t size = 100UL * 1024UL * 1024UL;
    EXPECT_TRUE(connection.send(
        fmt::format("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: {}\r\n\r\nx", size)));
    EXPECT_EQ(connection.read_status(), 413);
    EXPECT_TRUE(connection.closed_within(close_limit));
}

} // namespace savorywheel::test
