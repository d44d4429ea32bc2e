#include <savorywheel/http/curl_http_client.hpp>
#include <savorywheel/http/http_server.hpp>

#include <gtest/gtest.h>
#include <support/loop_http_server.hpp>
#include <support/loopback_socket.hpp>
#include <support/raw_http_connection.hpp>
#include <support/wait_until.hpp>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <condition_variable>
#include <mutex>
#include <thread>
#include <type_traits>

namespace savorywheel::test {

namespace {

constexpr std::chrono::seconds timeout{10};

/** Responds with the target after a delay. */
class slow_handler final : public http_handler {
public:
    explicit slow_handler(std::chrono::milliseconds time) : time_{time} {}

    http_response handle(const http_request& request) override
    {
        std::this_thread::sleep_for(time_);
        return {200, {}, request.target};
    }

private:
    std::chrono::milliseconds time_;
};

/** Never responds; counts the requests that are cancelled. */
class waiting_handler final : public async_http_handler {
public:
    void start(http_request /*request*/, const std::shared_ptr<cancellation>& cancel_signal,
               responder /*respond*/) override
    {
        cancel_signal->set_callback([this] { ++cancelled; });
        ++started;
    }

    std::atomic<int> started{};
    std::atomic<int> cancelled{};
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

/** Records what does not reach the handler. */
class recording_listener final : public http_server_listener {
public:
    void on_rejected(int status, std::string_view /*target*/, std::string_view reason) override
    {
        const std::scoped_lock lock{mutex_};
        statuses.push_back(status);
        reasons.emplace_back(reason);
    }

    void on_library_error(std::string_view message) override
    {
        const std::scoped_lock lock{mutex_};
        messages.emplace_back(message);
    }

    std::vector<int> statuses;
    std::vector<std::string> reasons;
    std::vector<std::string> messages;

private:
    std::mutex mutex_;
};

/** Sends raw bytes on a new connection and returns the response up to the end of its header. */
std::string exchange(const network_endpoint& server, std::string_view bytes)
{
    const int connection = connect_to(server);
    static_cast<void>(::send(connection, bytes.data(), bytes.size(), MSG_NOSIGNAL));
    std::string response;
    std::array<char, 4096> buffer{};
    while (response.find("\r\n\r\n") == std::string::npos) {
        const auto size = ::recv(connection, buffer.data(), buffer.size(), 0);
        if (size <= 0) {
            break;
        }
        response.append(buffer.data(), static_cast<std::size_t>(size));
    }
    ::close(connection);
    return response;
}

/** Responds with an error status and no body. */
class failing_handler final : public http_handler {
public:
    http_response handle(const http_request& /*request*/) override { return {500, {}, {}}; }
};

/** Stops a server while callers send requests on persistent connections. */
template<typename Server>
void expect_stop_without_interruption()
{
    slow_handler handler{std::chrono::milliseconds{20}};
    Server server{handler};
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

template<typename Server>
class http_server_test : public testing::Test {
};

using servers = testing::Types<http_server, loop_http_server>;
TYPED_TEST_SUITE(http_server_test, servers);

} // namespace

TYPED_TEST(http_server_test, keeps_the_status_of_a_response_without_a_body)
{
    failing_handler handler;
    TypeParam server{handler};
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
    expect_stop_without_interruption<loop_http_server>();
}

TEST(proof_graceful_stop, completes_requests_of_the_administration)
{
    expect_stop_without_interruption<http_server>();
}

TEST(proof_cancellation, caller_disconnect_cancels_its_requests)
{
    waiting_handler handler;
    loop_http_server server{handler, {.drain_limit = std::chrono::milliseconds{100}}};
    const auto endpoint = free_endpoint();
    ASSERT_TRUE(server.start(endpoint));
    const int connection = connect_to(endpoint);
    const std::string request = "GET /wait HTTP/1.1\r\nHost: a\r\n\r\n";
    const auto requests = request + request;
    ASSERT_EQ(::send(connection, requests.data(), requests.size(), MSG_NOSIGNAL),
              static_cast<ssize_t>(requests.size()));
    ASSERT_TRUE(wait_until([&handler] { return handler.started == 2; }));
    ::close(connection);
    EXPECT_TRUE(
        wait_until([&handler] { return handler.cancelled == 2; }, std::chrono::seconds{10}));
}

TYPED_TEST(http_server_test, a_request_may_run_longer_than_the_idle_timeout)
{
    slow_handler handler{std::chrono::milliseconds{2500}};
    TypeParam server{handler, {.idle_timeout = std::chrono::seconds{1}}};
    const auto endpoint = free_endpoint();
    ASSERT_TRUE(server.start(endpoint));
    raw_http_connection connection{endpoint};
    for (int i = 0; i < 2; ++i) {
        EXPECT_TRUE(connection.send("GET /a HTTP/1.1\r\nHost: a\r\n\r\n"));
        EXPECT_EQ(connection.read_status(), 200);
        EXPECT_TRUE(
            connection.send("POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\n"));
        std::this_thread::sleep_for(std::chrono::milliseconds{300});
        EXPECT_TRUE(connection.send(std::string(100'000, 'x')));
        EXPECT_EQ(connection.read_status(), 200);
    }
}

TYPED_TEST(http_server_test, a_connection_beyond_the_limit_is_closed_and_leaves_the_others_open)
{
    slow_handler handler{{}};
    TypeParam server{handler, {.max_connections = 2}};
    const auto endpoint = free_endpoint();
    ASSERT_TRUE(server.start(endpoint));
    const auto status_of_request = [](raw_http_connection& connection) {
        return connection.send("GET /a HTTP/1.1\r\nHost: a\r\n\r\n") ? connection.read_status() : 0;
    };
    raw_http_connection first{endpoint};
    EXPECT_EQ(status_of_request(first), 200);
    {
        raw_http_connection second{endpoint};
        EXPECT_EQ(status_of_request(second), 200);
        raw_http_connection beyond{endpoint};
        EXPECT_TRUE(beyond.closed_within(timeout));
        EXPECT_EQ(status_of_request(first), 200);
        EXPECT_EQ(status_of_request(second), 200);
    }
    EXPECT_TRUE(wait_until([&] {
        raw_http_connection later{endpoint};
        return status_of_request(later) == 200;
    }));
}

TYPED_TEST(http_server_test, passes_the_target_unchanged_and_rejects_large_bodies)
{
    slow_handler handler{{}};
    TypeParam server{handler, {.max_body_bytes = 1000}};
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

TYPED_TEST(http_server_test, reports_requests_that_do_not_reach_the_handler)
{
    slow_handler handler{{}};
    recording_listener listener;
    TypeParam server{handler, {.max_body_bytes = 1000}, &listener};
    const auto endpoint = free_endpoint();
    ASSERT_TRUE(server.start(endpoint));
    curl_http_client client;
    ASSERT_TRUE(client.send(endpoint, {"POST", "/", {}, std::string(1001, 'x')}, timeout));
    const auto malformed = exchange(endpoint, "GET / HTTP/1.1\r\nHost: a\r\nHost\r\n\r\n");
    EXPECT_TRUE(malformed.starts_with("HTTP/1.1 400")) << malformed;
    server.stop();
    EXPECT_EQ(listener.statuses, std::vector<int>{413});
    // Only the server of the administration reads the body first.
    const std::string received = std::is_same_v<TypeParam, http_server> ? "1001" : "0";
    EXPECT_EQ(listener.reasons.front(),
              received +
                  " bytes of the body received, announced 1001, allowed 1000, buffered 8388608");
    EXPECT_TRUE(std::ranges::any_of(listener.messages, [](const std::string& message) {
        return message.find("400") != std::string::npos;
    }));
}

} // namespace savorywheel::test
