#include <savorywheel/http/http_status.hpp>

#include <gtest/gtest.h>
#include <support/loop_http_server.hpp>
#include <support/loopback_socket.hpp>
#include <support/raw_http_connection.hpp>
#include <support/wait_until.hpp>
#include <unistd.h>

#include <atomic>
#include <thread>

namespace savorywheel::test {

namespace {

/** Responds to a request only after its cancellation. */
class unfinished_requests final : public async_http_handler {
public:
    void start(http_request /*request*/, const std::shared_ptr<cancellation>& cancel_signal,
               responder respond) override
    {
        cancel_signal->set_callback([respond] {
            respond({status_gateway_timeout, {}, "the outcome is unknown"});
        });
        ++started_;
    }

    [[nodiscard]] int started() const noexcept { return started_; }

private:
    std::atomic<int> started_{};
};

std::string request_of(std::string_view method)
{
    return std::string{method} + " /a HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n";
}

} // namespace

// Review case 3: a request in flight at the end of a planned stop ended without a response.
TEST(planned_stop, request_in_flight_at_the_end_gets_a_response)
{
    network_endpoint endpoint;
    ::close(listen_on_loopback(endpoint));
    unfinished_requests handler;
    loop_http_server server{handler, {.drain_limit = std::chrono::milliseconds{100}}};
    ASSERT_TRUE(server.start(endpoint));
    raw_http_connection single{endpoint};
    raw_http_connection pipelined{endpoint};
    ASSERT_TRUE(single.send(request_of("POST")));
    ASSERT_TRUE(pipelined.send(request_of("GET") + request_of("GET")));
    ASSERT_TRUE(wait_until([&handler] { return handler.started() == 3; }));
    std::thread stop{[&server] { server.stop(); }};
    EXPECT_EQ(single.read_status(), status_gateway_timeout);
    EXPECT_EQ(pipelined.read_status(), status_gateway_timeout);
    EXPECT_EQ(pipelined.read_status(), status_gateway_timeout);
    stop.join();
}

} // namespace savorywheel::test
