#include <savorywheel/http/curl_http_client.hpp>
#include <savorywheel/http/http_server.hpp>

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <support/loopback_socket.hpp>
#include <support/scripted_server.hpp>
#include <support/silencing_proxy.hpp>
#include <support/wait_until.hpp>
#include <unistd.h>

#include <latch>
#include <thread>
#include <vector>

namespace savorywheel::test {

namespace {

constexpr std::chrono::seconds timeout{5};
const http_request booking{"POST", "/book", {}, "plug 7"};

/** Blocks the first requests until a given number of them are in flight. */
class waiting_handler final : public http_handler {
public:
    explicit waiting_handler(std::size_t count) : missing_{static_cast<std::ptrdiff_t>(count)} {}

    http_response handle(const http_request& /*request*/) override
    {
        if (!missing_.try_wait()) {
            missing_.arrive_and_wait();
        }
        return {200, {}, "x"};
    }

private:
    std::latch missing_;
};

std::string whole_answer(bool chunked)
{
    if (chunked) {
        return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n";
    }
    return "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello";
}

} // namespace

TEST(proof_whole_answers, an_answer_cut_anywhere_is_an_unknown_outcome)
{
    EXPECT_TRUE(rc::check([] {
        const auto whole = whole_answer(*rc::gen::arbitrary<bool>());
        const auto length = *rc::gen::inRange<std::size_t>(0, whole.size() + 1);
        scripted_server server{{{whole.substr(0, length)}}};
        curl_http_client client;
        const auto answer = client.send(server.endpoint(), booking, timeout);
        RC_ASSERT(static_cast<bool>(answer) == (length == whole.size()));
        RC_ASSERT((answer || answer.reason().code == failure_code::unknown_outcome));
    }));
}

TEST(proof_whole_answers, a_body_that_ends_with_the_connection_is_an_unknown_outcome)
{
    scripted_server server{{{"HTTP/1.1 200 OK\r\n\r\nhel"}}};
    curl_http_client client;
    const auto answer = client.send(server.endpoint(), booking, timeout);
    ASSERT_FALSE(answer);
    EXPECT_EQ(answer.reason().code, failure_code::unknown_outcome);
}

TEST(curl_http_client, a_body_that_ends_with_the_connection_is_whole_where_that_is_agreed)
{
    scripted_server server{{{"HTTP/1.1 200 OK\r\n\r\nhello"}}};
    curl_http_client client{answer_end::or_connection};
    const auto answer = client.send(server.endpoint(), booking, timeout);
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->body, "hello");
}

TEST(curl_http_client, an_answer_that_is_reset_or_cut_short_is_never_whole)
{
    const std::vector<scripted_exchange> cuts{{"HTTP/1.1 200 OK\r\n\r\nhel", true, true},
                                              {"HTTP/1.1 200 OK\r\nServer: x", true, false},
                                              {whole_answer(false).substr(0, 40), true, false},
                                              {whole_answer(true).substr(0, 52), true, false}};
    for (const auto& cut : cuts) {
        scripted_server server{{cut}};
        curl_http_client client{answer_end::or_connection};
        const auto answer = client.send(server.endpoint(), booking, timeout);
        ASSERT_FALSE(answer) << cut.answer;
        EXPECT_EQ(answer.reason().code, failure_code::unknown_outcome);
    }
}

TEST(proof_at_most_once, a_kept_connection_that_closes_under_a_request_is_not_retried)
{
    scripted_server server{{{whole_answer(false), false}, {"", true}, {whole_answer(false)}}};
    curl_http_client client;
    ASSERT_TRUE(client.send(server.endpoint(), booking, timeout));
    const auto second = client.send(server.endpoint(), booking, timeout);
    ASSERT_FALSE(second);
    EXPECT_EQ(second.reason().code, failure_code::unknown_outcome);
    EXPECT_EQ(server.requests(), 2U);
}

TEST(curl_http_client, bytes_after_an_answer_never_become_the_next_answer)
{
    scripted_server server{
        {{whole_answer(false) + "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate", false},
         {whole_answer(false), false}}};
    curl_http_client client;
    ASSERT_TRUE(client.send(server.endpoint(), booking, timeout));
    const auto second = client.send(server.endpoint(), booking, timeout);
    EXPECT_TRUE(!second || second->body == "hello");
}

TEST(curl_http_client, abort_ends_a_request_in_progress_and_refuses_later_ones)
{
    scripted_server server{{{"", false}}};
    curl_http_client client;
    std::thread stopper{[&server, &client] {
        static_cast<void>(wait_until([&server] { return server.requests() == 1; }));
        client.abort();
    }};
    const auto waiting = client.send(server.endpoint(), booking, std::chrono::seconds{60});
    stopper.join();
    EXPECT_FALSE(waiting);
    const auto later = client.send(server.endpoint(), booking, timeout);
    ASSERT_FALSE(later);
    EXPECT_EQ(later.reason().code, failure_code::unavailable);
}

TEST(proof_cancellation, a_cancelled_request_ends_at_once_and_closes_its_connection)
{
    scripted_server server{{{"", false}}};
    curl_http_client client;
    cancellation stop;
    std::thread canceller{[&server, &stop] {
        static_cast<void>(wait_until([&server] { return server.requests() == 1; }));
        stop.cancel();
    }};
    const auto started = std::chrono::steady_clock::now();
    const auto answer =
        client.send_until_cancelled(server.endpoint(), booking, default_patience, stop);
    EXPECT_LT(std::chrono::steady_clock::now() - started, default_patience / 2);
    canceller.join();
    ASSERT_FALSE(answer);
    EXPECT_EQ(answer.reason().code, failure_code::unknown_outcome);
    EXPECT_TRUE(wait_until([&server] { return server.ended() == 1; }));
}

TEST(proof_silent_connections, one_failure_replaces_all_kept_connections_to_a_server)
{
    constexpr std::size_t kept = 4;
    waiting_handler handler{kept};
    http_server server{handler};
    network_endpoint endpoint;
    ::close(listen_on_loopback(endpoint));
    ASSERT_TRUE(server.start(endpoint));
    silencing_proxy proxy{endpoint};
    curl_http_client client;
    std::vector<std::thread> callers;
    callers.reserve(kept);
    for (std::size_t i = 0; i < kept; ++i) {
        callers.emplace_back([&] { EXPECT_TRUE(client.send(proxy.endpoint(), booking, timeout)); });
    }
    for (auto& caller : callers) {
        caller.join();
    }
    proxy.silence();
    EXPECT_FALSE(client.send(proxy.endpoint(), booking, std::chrono::milliseconds{300}));
    EXPECT_TRUE(client.send(proxy.endpoint(), booking, timeout));
}

} // namespace savorywheel::test
