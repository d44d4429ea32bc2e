#include <savorywheel/http/curl_http_client.hpp>
#include <savorywheel/http/http_server.hpp>

#include <gtest/gtest.h>
#include <support/loopback_socket.hpp>
#include <support/wait_until.hpp>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <condition_variable>
#include <thread>

namespace savorywheel::test {

namespace {

constexpr std::chrono::seconds timeout{10};

/** Responds with the target after a delay; "/wait" blocks until its request is cancelled. */
class slow_handler final : public http_handler {
public:
    explicit slow_handler(std::chrono::milliseconds time) : time_{time} {}

    http_response handle(const http_request& request) override
    {
        std::this_thread::sleep_for(time_);
        return {200, {}, request.target};
    }

    http_response handle_until_cancelled(const http_request& request,
                                         cancellation& cancel_signal) override
    {
        if (request.target != "/wait") {
            return handle(request);
        }
        waiting = true;
        cancelled = wait_until([&cancel_signal] { return cancel_signal.cancelled(); });
        return {200, {}, {}};
    }

    std::atomic<bool> waiting{};
    std::atomic<bool> cancelled{};

private:
    std::chrono::milliseconds time_;
};

/** Endpoint whose port was free when it was probed. */
network_endpoint free_endpoint()
{
    network_endpoint endpoint;
    ::close(listen_on_loopback(endpoint));
    return endpoint;
}

/** Sends requests on one persistent connection until the server closes it; returns 1 if the last
 * one may have been executed without a complete response, else 0. */
int count_interrupted_requests(const network_endpoint& server, std::atomic<int>& answered)
{
    curl_http_client client;
    while (true) {
        const auto response = client.send(server, {"POST", "/a", {}, "x"}, timeout);
        if (!response) {
            return response.reason().code == failure_code::unavailable ? 0 : 1;
        }
        ++answered;
        if (!find_header(response->headers, "Connection").empty()) {
            return 0;
        }
    }
}

/** Responds with an error status and no body. */
class failing_handler final : public http_handler {
public:
    http_response handle(const http_request& /*request*/) override { return {500, {}, {}}; }
};

} // namespace

TEST(http_server_test, keeps_the_status_of_a_response_without_a_body)
{
    failing_handler handler;
    http_server server{handler};
    const auto endpoint = free_endpoint();
    ASSERT_TRUE(server.start(endpoint));
    curl_http_client client;
    const auto response = client.send(endpoint, {"GET", "/", {}, {}}, timeout);
    ASSERT_TRUE(response);
    EXPECT_EQ(response->status, 500);
    EXPECT_EQ(response->body, "");
}

TEST(proof_graceful_stop, completes_requests_on_persistent_connections)
{
    slow_handler handler{std::chrono::milliseconds{20}};
    http_server server{handler};
    const auto endpoint = free_endpoint();
    ASSERT_TRUE(server.start(endpoint));
    std::atomic<int> answered{};
    std::atomic<int> interrupted{};
    constexpr std::size_t caller_count = 16;
    std::vector<std::thread> callers;
    callers.reserve(caller_count);
    for (std::size_t i = 0; i < caller_count; ++i) {
        callers.emplace_back(
            [&] { interrupted += count_interrupted_requests(endpoint, answered); });
    }
    ASSERT_TRUE(wait_until([&answered] { return answered > 50; }));
    server.stop();
    for (auto& caller : callers) {
        caller.join();
    }
    EXPECT_EQ(interrupted, 0);
}

TEST(proof_cancellation, caller_disconnect_cancels_its_request)
{
    slow_handler handler{{}};
    http_server server{handler};
    const auto endpoint = free_endpoint();
    ASSERT_TRUE(server.start(endpoint));
    const int connection = connect_to(endpoint);
    const std::string request = "GET /wait HTTP/1.1\r\nHost: a\r\n\r\n";
    ASSERT_EQ(::send(connection, request.data(), request.size(), MSG_NOSIGNAL),
              static_cast<ssize_t>(request.size()));
    ASSERT_TRUE(wait_until([&handler] { return handler.waiting.load(); }));
    ::close(connection);
    EXPECT_TRUE(
        wait_until([&handler] { return handler.cancelled.load(); }, std::chrono::seconds{10}));
}

TEST(http_server, passes_the_target_unchanged_and_rejects_large_bodies)
{
    slow_handler handler{{}};
    http_server server{handler, {.max_body_bytes = 1000}};
    const auto endpoint = free_endpoint();
    ASSERT_TRUE(server.start(endpoint));
    curl_http_client client;
    const std::string target = "/a%2Fb/c;d?x=1&x=2&y=%20+&z";
    const auto response = client.send(endpoint, {"GET", target, {}, {}}, timeout);
    ASSERT_TRUE(response);
    EXPECT_EQ(response->body, target);
    const auto at_limit = client.send(endpoint, {"POST", "/", {}, std::string(1000, 'x')}, timeout);
    ASSERT_TRUE(at_limit);
    EXPECT_EQ(at_limit->status, 200);
    const auto over_limit =
        client.send(endpoint, {"POST", "/", {}, std::string(1001, 'x')}, timeout);
    ASSERT_TRUE(over_limit);
    EXPECT_EQ(over_limit->status, 413);
}

} // namespace savorywheel::test
