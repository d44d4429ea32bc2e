#include <savorywheel/transport/asio_peer_network.hpp>
#include <savorywheel/transport/frame_header.hpp>
#include <savorywheel/transport/request_client.hpp>

#include <gtest/gtest.h>
#include <support/blackhole_proxy.hpp>
#include <support/loopback_socket.hpp>
#include <support/wait_until.hpp>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <thread>
#include <vector>

namespace savorywheel::test {

namespace {

/** Echoes requests while responding is set, else sends no response. */
class echo_handler final : public frame_handler {
public:
    void on_frame(const std::shared_ptr<frame_sink>& connection, frame_kind /*kind*/,
                  std::uint64_t correlation, std::span<const std::byte> payload) override
    {
        ++received;
        if (responding) {
            connection->send(frame_kind::call_response, correlation, payload);
        }
    }
    void on_closed(const frame_sink& /*connection*/, bool /*established*/) override { ++closed; }

    std::atomic<bool> responding{true};
    std::atomic<int> received{};
    std::atomic<int> closed{};
};

/** Responds to each request with a payload of a given size. */
class large_response_handler final : public frame_handler {
public:
    explicit large_response_handler(std::size_t bytes) : payload_(bytes) {}

    void on_frame(const std::shared_ptr<frame_sink>& connection, frame_kind /*kind*/,
                  std::uint64_t correlation, std::span<const std::byte> /*payload*/) override
    {
        connection->send(frame_kind::call_response, correlation, payload_);
        answered = true;
    }
    void on_closed(const frame_sink& /*connection*/, bool /*established*/) override {}

    std::atomic<bool> answered{};

private:
    std::vector<std::byte> payload_;
};

network_endpoint free_endpoint()
{
    network_endpoint endpoint;
    ::close(listen_on_loopback(endpoint));
    return endpoint;
}

/** A calling node that reaches the called node through a proxy. */
struct two_node_fixture {
    two_node_fixture()
    {
        EXPECT_TRUE(callee.start(callee_endpoint));
        EXPECT_TRUE(caller.start(free_endpoint()));
    }

    void submit()
    {
        const std::vector payload(100, std::byte{7});
        requests.submit(caller.connection_to(proxy.endpoint()), frame_kind::call_request, payload,
                        [this](const request_client::response& response) {
                            ++(response ? responses : failures);
                            last = response.reason().code;
                        });
    }

    network_endpoint callee_endpoint{free_endpoint()};
    echo_handler handler;
    request_client requests;
    asio_peer_network callee{handler};
    asio_peer_network caller{requests};
    blackhole_proxy proxy{callee_endpoint};
    std::atomic<int> responses{};
    std::atomic<int> failures{};
    std::atomic<failure_code> last{};
};

} // namespace

TEST(proof_silent_connections,
     request_on_a_stalled_connection_is_unknown_and_the_next_one_reconnects)
{
    two_node_fixture mesh;
    mesh.submit();
    ASSERT_TRUE(wait_until([&mesh] { return mesh.responses == 1; }));
    mesh.proxy.blackhole_open_connections();
    mesh.submit();
    ASSERT_TRUE(wait_until([&mesh] { return mesh.failures == 1; }, std::chrono::seconds{10}));
    EXPECT_EQ(mesh.last, failure_code::unknown_outcome);
    EXPECT_EQ(mesh.responses, 1);
    mesh.submit();
    EXPECT_TRUE(wait_until([&mesh] { return mesh.responses == 2; }, std::chrono::seconds{10}));
    EXPECT_TRUE(wait_until([&mesh] { return mesh.handler.closed == 1; }, std::chrono::seconds{10}));
}

TEST(proof_truthful_not_run, request_is_not_sent_before_the_first_heartbeat_of_the_peer)
{
    network_endpoint endpoint;
    const int listener = listen_on_loopback(endpoint);
    request_client requests;
    asio_peer_network caller{requests};
    ASSERT_TRUE(caller.start(free_endpoint()));
    std::atomic<failure_code> code{};
    requests.submit(
        caller.connection_to(endpoint), frame_kind::call_request, {},
        [&code](const request_client::response& response) { code = response.reason().code; });
    EXPECT_TRUE(wait_until([&code] { return code == failure_code::unavailable; },
                           std::chrono::seconds{10}));
    const int accepted = ::accept(listener, nullptr, nullptr);
    std::byte first{};
    EXPECT_EQ(::recv(accepted, &first, 1, 0), 0);
    ::close(accepted);
    ::close(listener);
}

TEST(proof_graceful_stop, queued_response_is_written_before_the_connection_closes)
{
    constexpr std::size_t response_bytes = 8UL * 1024UL * 1024UL;
    large_response_handler handler{response_bytes};
    asio_peer_network callee{handler};
    const auto endpoint = free_endpoint();
    ASSERT_TRUE(callee.start(endpoint));
    const int connection = connect_to(endpoint);
    const auto header = encode_header({0, frame_kind::call_request, 1});
    ASSERT_EQ(::send(connection, header.data(), header.size(), MSG_NOSIGNAL),
              static_cast<ssize_t>(header.size()));
    ASSERT_TRUE(wait_until([&handler] { return handler.answered.load(); }));
    std::thread stopper{[&callee] { callee.stop(); }};
    std::size_t received = 0;
    std::vector<std::byte> part(65536);
    for (ssize_t size = 1; size > 0; received += static_cast<std::size_t>(size)) {
        size = std::max<ssize_t>(::recv(connection, part.data(), part.size(), 0), 0);
    }
    ::close(connection);
    stopper.join();
    EXPECT_EQ(received, 2 * frame_header_bytes + response_bytes);
}

TEST(peer_connection, closes_on_a_malformed_frame_header)
{
    two_node_fixture mesh;
    const int connection = connect_to(mesh.callee_endpoint);
    const std::string invalid_header(64, '\x7f');
    ASSERT_GT(::send(connection, invalid_header.data(), invalid_header.size(), MSG_NOSIGNAL), 0);
    EXPECT_TRUE(wait_until([&mesh] { return mesh.handler.closed == 1; }));
    EXPECT_EQ(mesh.handler.received, 0);
    ::close(connection);
}

} // namespace savorywheel::test
