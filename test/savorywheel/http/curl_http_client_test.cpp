#include <savorywheel/http/curl_http_client.hpp>
#include <savorywheel/http/http_server.hpp>

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <support/blackhole_proxy.hpp>
#include <support/endless_server.hpp>
#include <support/loopback_socket.hpp>
#include <support/recording_http_handler.hpp>
#include <support/scripted_server.hpp>
#include <support/wait_until.hpp>
#include <unistd.h>

#include <latch>
#include <span>
#include <string>
#include <thread>
#include <vector>

namespace savorywheel::test {

namespace {

constexpr std::chrono::seconds timeout{5};
const http_request post_request{"POST", "/book", {}, "plug 7"};

/** Blocks the first requests until a given number of them are in flight. */
class barrier_handler final : public http_handler {
public:
    explicit barrier_handler(std::size_t count) : latch_{static_cast<std::ptrdiff_t>(count)} {}

    http_response handle(const http_request& /*request*/) override
    {
        if (!latch_.try_wait()) {
            latch_.arrive_and_wait();
        }
        return {200, {}, "x"};
    }

private:
    std::latch latch_;
};

std::string lines_of(std::span<const http_header> headers)
{
    std::string lines;
    for (const auto& header : headers) {
        lines += header.name + ": " + header.value + "\n";
    }
    return lines;
}

/** Responds with the target of the request. */
struct echo_handler final : http_handler {
    http_response handle(const http_request& request) override { return {200, {}, request.target}; }
};

std::string complete_response(bool chunked)
{
    if (chunked) {
        return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n";
    }
    return "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello";
}

} // namespace

TEST(proof_whole_answers, truncated_response_is_an_unknown_outcome)
{
    EXPECT_TRUE(rc::check([] {
        const auto complete = complete_response(*rc::gen::arbitrary<bool>());
        const auto length = *rc::gen::inRange<std::size_t>(0, complete.size() + 1);
        scripted_server server{{{complete.substr(0, length)}}};
        curl_http_client client;
        const auto response = client.send(server.endpoint(), post_request, timeout);
        RC_ASSERT(static_cast<bool>(response) == (length == complete.size()));
        RC_ASSERT((response || response.reason().code == failure_code::unknown_outcome));
    }));
}

TEST(proof_whole_answers, close_delimited_body_is_an_unknown_outcome)
{
    scripted_server server{{{"HTTP/1.1 200 OK\r\n\r\nhel"}}};
    curl_http_client client;
    const auto response = client.send(server.endpoint(), post_request, timeout);
    ASSERT_FALSE(response);
    EXPECT_EQ(response.reason().code, failure_code::unknown_outcome);
}

TEST(curl_http_client, close_delimited_body_is_complete_if_allowed)
{
    scripted_server server{{{"HTTP/1.1 200 OK\r\n\r\nhello"}}};
    curl_http_client client{response_framing::allow_close_delimited};
    const auto response = client.send(server.endpoint(), post_request, timeout);
    ASSERT_TRUE(response);
    EXPECT_EQ(response->body, "hello");
}

TEST(curl_http_client, sends_the_header_fields_of_the_request_and_no_others)
{
    network_endpoint endpoint;
    ::close(listen_on_loopback(endpoint));
    recording_http_handler handler;
    http_server server{handler};
    ASSERT_TRUE(server.start(endpoint));
    const std::vector<http_header> fields{
        {"Host", "a"},    {"X-Empty", ""},      {"X-Twice", "1"},          {"x-twice", "2"},
        {"X-Twice", "1"}, {"Cookie", "a=b; c"}, {"X-Bytes", "\xff; \"q\""}};
    curl_http_client client;
    for (const std::string method : {"GET", "POST", "PUT", "DELETE", "HEAD", "OPTIONS"}) {
        SCOPED_TRACE(method);
        auto request_fields = fields;
        request_fields.push_back({"Expect", "100-continue"});
        const auto sent = client.send(endpoint, {method, "/a", request_fields, {}}, timeout);
        ASSERT_TRUE(sent) << sent.reason().message;
        const auto requests = handler.take();
        ASSERT_EQ(requests.size(), 1U);
        auto received = requests.front().headers;
        std::erase_if(received, [](const http_header& header) {
            return header == http_header{"Content-Length", "0"};
        });
        EXPECT_EQ(requests.front().method, method);
        EXPECT_EQ(lines_of(received), lines_of(fields));
    }
}

TEST(curl_http_client, reset_or_truncated_response_is_never_complete)
{
    const std::vector<scripted_exchange> truncated_exchanges{
        {"HTTP/1.1 200 OK\r\n\r\nhel", true, true},
        {"HTTP/1.1 200 OK\r\nServer: x", true, false},
        {complete_response(false).substr(0, 40), true, false},
        {complete_response(true).substr(0, 52), true, false}};
    for (const auto& exchange : truncated_exchanges) {
        scripted_server server{{exchange}};
        curl_http_client client{response_framing::allow_close_delimited};
        const auto response = client.send(server.endpoint(), post_request, timeout);
        ASSERT_FALSE(response) << exchange.response;
        EXPECT_EQ(response.reason().code, failure_code::unknown_outcome);
    }
}

TEST(proof_at_most_once, request_is_not_retried_if_its_reused_connection_closes)
{
    scripted_server server{
        {{complete_response(false), false}, {"", true}, {complete_response(false)}}};
    curl_http_client client;
    ASSERT_TRUE(client.send(server.endpoint(), post_request, timeout));
    const auto second = client.send(server.endpoint(), post_request, timeout);
    ASSERT_FALSE(second);
    EXPECT_EQ(second.reason().code, failure_code::unknown_outcome);
    EXPECT_EQ(server.requests(), 2U);
}

TEST(curl_http_client, surplus_bytes_are_not_read_as_the_next_response)
{
    scripted_server server{
        {{complete_response(false) + "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate", false},
         {complete_response(false), false}}};
    curl_http_client client;
    ASSERT_TRUE(client.send(server.endpoint(), post_request, timeout));
    const auto second = client.send(server.endpoint(), post_request, timeout);
    EXPECT_TRUE(!second || second->body == "hello");
}

TEST(curl_http_client, trailer_fields_and_fields_of_interim_responses_are_not_header_fields)
{
    scripted_server server{
        {{"HTTP/1.1 103 Early Hints\r\nA: 1\r\n\r\nHTTP/1.1 200 OK\r\n"
          "Transfer-Encoding: chunked\r\nB: 2\r\n\r\n5\r\nhello\r\n0\r\nC: 3\r\n\r\n"}}};
    curl_http_client client;
    const auto response = client.send(server.endpoint(), post_request, timeout);
    ASSERT_TRUE(response);
    EXPECT_EQ(response->body, "hello");
    EXPECT_EQ(find_header(response->headers, "A"), "");
    EXPECT_EQ(find_header(response->headers, "B"), "2");
    EXPECT_EQ(find_header(response->headers, "C"), "");
}

TEST(curl_http_client, switching_protocols_is_not_a_response)
{
    scripted_server server{{{"HTTP/1.1 101 Switching Protocols\r\n\r\nhello"}}};
    curl_http_client client{response_framing::allow_close_delimited};
    const auto response = client.send(server.endpoint(), post_request, timeout);
    ASSERT_FALSE(response);
    EXPECT_EQ(response.reason().code, failure_code::unknown_outcome);
}

TEST(curl_http_client, shows_whether_a_response_is_the_first_on_its_connection)
{
    scripted_server server{{{complete_response(false), false},
                            {complete_response(false), true},
                            {complete_response(false), false}}};
    curl_http_client client;
    for (const bool first : {true, false, true}) {
        const auto response = client.send(server.endpoint(), post_request, timeout);
        ASSERT_TRUE(response);
        EXPECT_EQ(response->first_on_connection, first);
        static_cast<void>(wait_until([&server] { return server.closed_connections() == 1; },
                                     std::chrono::milliseconds{200}));
    }
}

TEST(curl_http_client, endless_response_is_ended_long_before_the_deadline)
{
    constexpr std::chrono::seconds deadline{60};
    const std::string head = "HTTP/1.1 200 OK\r\n";
    const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    const std::vector<std::pair<std::string, std::string>> responses{
        {"", "x"},
        {"", "HTTP/1.1 100 Continue\r\n\r\n"},
        {head, "A: 1\r\n"},
        {head + "A: ", "x"},
        {head + "\r\n", "x"},
        {head + "Content-Length: 1000000000000\r\n\r\n", "x"},
        {chunked, "8\r\n12345678\r\n"},
        {chunked + "0\r\n", "A: 1\r\n"},
        {"HTTP/1.1 101 Switching Protocols\r\n\r\n", "x"}};
    for (const auto& [start, repeated] : responses) {
        endless_server server{start, repeated};
        curl_http_client client{response_framing::allow_close_delimited};
        const auto started = std::chrono::steady_clock::now();
        const auto response = client.send(server.endpoint(), post_request, deadline);
        EXPECT_LT(std::chrono::steady_clock::now() - started, deadline / 4) << start << repeated;
        ASSERT_FALSE(response) << start << repeated;
        EXPECT_EQ(response.reason().code, failure_code::unknown_outcome) << start << repeated;
        EXPECT_TRUE(wait_until([&server] { return server.closed_connections() == 1; }));
    }
}

TEST(curl_http_client, response_is_limited_to_its_settings)
{
    http_client_limits limits;
    limits.max_body_bytes = 5;
    limits.max_interim_responses = 1;
    const std::string interim = "HTTP/1.1 103 Early Hints\r\n\r\n";
    const std::string long_body = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nhello!";
    scripted_server server{{{complete_response(false)},
                            {complete_response(true)},
                            {interim + complete_response(false)},
                            {interim + interim + complete_response(false)},
                            {long_body}}};
    for (const bool within : {true, true, true, false, false}) {
        // The server closes each connection, which a client may not have noticed before it sends.
        curl_http_client client{response_framing::explicit_only, limits};
        EXPECT_EQ(static_cast<bool>(client.send(server.endpoint(), post_request, timeout)), within);
    }
}

TEST(curl_http_client, sends_the_target_as_it_is)
{
    echo_handler handler;
    network_endpoint endpoint;
    ::close(listen_on_loopback(endpoint));
    http_server server{handler, {}};
    ASSERT_TRUE(server.start(endpoint));
    curl_http_client client;
    for (const auto* target : {"/x?", "/x/?", "/x#y", "/x?y#z", "/x/../y/./", "//x", "/%zz%2f",
                               "/x?u=http://b.example/?", "/x?{a}[1-3]|^`\"<>\\", "/\xc3\xa9",
                               "/x?\xc3\xa9", "/@b.example:1/"}) {
        const auto response = client.send(endpoint, {"GET", target, {}, {}}, timeout);
        ASSERT_TRUE(response) << target << ": " << response.reason().message;
        EXPECT_EQ(response->body, target);
    }
}

TEST(curl_http_client, long_responses_share_a_limit_and_short_ones_are_not_affected)
{
    constexpr std::size_t long_bytes = 900'000;
    http_client_limits limits;
    limits.max_body_bytes = 1'000'000;
    limits.max_buffered_bytes = 1'500'000;
    const auto long_response = fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}",
                                           long_bytes, std::string(long_bytes, 'x'));
    // The first response stays incomplete, so that it holds its memory.
    scripted_server holder{{{long_response.substr(0, long_bytes), false}}};
    scripted_server other{{{long_response}, {complete_response(false)}, {long_response}}};
    curl_http_client client{response_framing::explicit_only, limits};
    cancellation cancel_signal;
    std::thread waiting{[&] {
        EXPECT_FALSE(client.send_until_cancelled(holder.endpoint(), post_request,
                                                 default_wait_timeout, cancel_signal));
    }};
    const auto is_received = [&] {
        return static_cast<bool>(client.send(other.endpoint(), post_request, timeout));
    };
    ASSERT_TRUE(wait_until([&holder] { return holder.requests() == 1; }));
    static_cast<void>(wait_until([] { return false; }, std::chrono::milliseconds{200}));
    EXPECT_FALSE(is_received());
    EXPECT_TRUE(is_received());
    cancel_signal.cancel();
    waiting.join();
    EXPECT_TRUE(is_received());
}

TEST(curl_http_client, abort_cancels_requests_in_flight_and_rejects_later_ones)
{
    scripted_server server{{{"", false}}};
    curl_http_client client;
    std::thread stopper{[&server, &client] {
        static_cast<void>(wait_until([&server] { return server.requests() == 1; }));
        client.abort();
    }};
    const auto waiting = client.send(server.endpoint(), post_request, std::chrono::seconds{60});
    stopper.join();
    EXPECT_FALSE(waiting);
    const auto later = client.send(server.endpoint(), post_request, timeout);
    ASSERT_FALSE(later);
    EXPECT_EQ(later.reason().code, failure_code::unavailable);
}

TEST(proof_cancellation, cancelled_request_returns_immediately_and_closes_its_connection)
{
    scripted_server server{{{"", false}}};
    curl_http_client client;
    cancellation cancel_signal;
    std::thread canceller{[&server, &cancel_signal] {
        static_cast<void>(wait_until([&server] { return server.requests() == 1; }));
        cancel_signal.cancel();
    }};
    const auto started = std::chrono::steady_clock::now();
    const auto response = client.send_until_cancelled(server.endpoint(), post_request,
                                                      default_wait_timeout, cancel_signal);
    EXPECT_LT(std::chrono::steady_clock::now() - started, default_wait_timeout / 2);
    canceller.join();
    ASSERT_FALSE(response);
    EXPECT_EQ(response.reason().code, failure_code::unknown_outcome);
    EXPECT_TRUE(wait_until([&server] { return server.closed_connections() == 1; }));
}

TEST(proof_silent_connections, one_failure_closes_all_idle_connections_to_the_server)
{
    constexpr std::size_t connection_count = 4;
    barrier_handler handler{connection_count};
    http_server server{handler};
    network_endpoint endpoint;
    ::close(listen_on_loopback(endpoint));
    ASSERT_TRUE(server.start(endpoint));
    blackhole_proxy proxy{endpoint};
    curl_http_client client;
    std::vector<std::thread> callers;
    callers.reserve(connection_count);
    for (std::size_t i = 0; i < connection_count; ++i) {
        callers.emplace_back(
            [&] { EXPECT_TRUE(client.send(proxy.endpoint(), post_request, timeout)); });
    }
    for (auto& caller : callers) {
        caller.join();
    }
    proxy.blackhole_open_connections();
    EXPECT_FALSE(client.send(proxy.endpoint(), post_request, std::chrono::milliseconds{300}));
    EXPECT_TRUE(client.send(proxy.endpoint(), post_request, timeout));
}

} // namespace savorywheel::test
