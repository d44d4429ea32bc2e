#include <savorywheel/http/curl_http_client.hpp>

#include <gtest/gtest.h>
#include <netinet/in.h>
#include <support/loopback_socket.hpp>
#include <support/wait_until.hpp>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <string>
#include <thread>
#include <tuple>

namespace savorywheel::test {

namespace {

constexpr std::chrono::seconds timeout{3};
/** Neither a length nor chunks: the end of the connection ends the body. */
constexpr std::string_view unframed_response = "HTTP/1.1 200 OK\r\nX-Name: value\r\n\r\npart";
constexpr std::string_view header_end = "\r\n\r\n";

/** @brief How the server ends a connection after the first bytes of its response. */
enum class connection_end : std::uint8_t {
    reset,             /**< Reset with no further delay. */
    reset_after_pause, /**< Reset once the client has had time to read all bytes. */
    closed_then_reset, /**< End of the response, then a reset. */
    closed             /**< End of the response; the rest of the request is read. */
};

/** @brief TCP server that sends an unframed response to an upload that it has read in part. */
class reset_server {
public:
    reset_server(connection_end end, std::size_t read_first, std::string_view response)
        : end_{end}, read_first_{read_first}, response_{response}, listener_{listen_on_loopback(
                                                                       endpoint_)}
    {
        thread_ = std::thread{[this] { run(); }};
    }
    reset_server(const reset_server&) = delete;
    reset_server& operator=(const reset_server&) = delete;
    reset_server(reset_server&&) = delete;
    reset_server& operator=(reset_server&&) = delete;
    ~reset_server()
    {
        ::shutdown(listener_, SHUT_RDWR);
        thread_.join();
        ::close(listener_);
    }

    [[nodiscard]] const network_endpoint& endpoint() const noexcept { return endpoint_; }

private:
    void run()
    {
        const int connection = ::accept(listener_, nullptr, nullptr);
        if (connection < 0) {
            return;
        }
        std::string received;
        std::array<char, 65536> chunk{};
        while (received.find(header_end) == std::string::npos || received.size() < read_first_) {
            const auto size = ::recv(connection, chunk.data(), chunk.size(), 0);
            if (size <= 0) {
                break;
            }
            received.append(chunk.data(), static_cast<std::size_t>(size));
        }
        static_cast<void>(::send(connection, response_.data(), response_.size(), MSG_NOSIGNAL));
        if (end_ == connection_end::reset_after_pause) {
            std::this_thread::sleep_for(std::chrono::milliseconds{100});
        }
        if (end_ == connection_end::closed || end_ == connection_end::closed_then_reset) {
            ::shutdown(connection, SHUT_WR);
        }
        if (end_ == connection_end::closed) {
            while (::recv(connection, chunk.data(), chunk.size(), 0) > 0) {
            }
        }
        else {
            const linger zero_linger{1, 0};
            ::setsockopt(connection, SOL_SOCKET, SO_LINGER, &zero_linger, sizeof(zero_linger));
        }
        ::close(connection);
    }

    connection_end end_;
    std::size_t read_first_;
    std::string response_;
    network_endpoint endpoint_;
    int listener_{};
    std::thread thread_;
};

outcome<http_response> upload(connection_end end, std::size_t bytes, std::size_t read_first,
                              std::string_view response)
{
    reset_server server{end, read_first, response};
    curl_http_client client{response_framing::allow_close_delimited};
    return client.send(server.endpoint(), {"POST", "/upload", {}, std::string(bytes, 'b')},
                       timeout);
}

/** @brief End of the connection, bytes of the request, bytes that the server reads first. */
using upload_case = std::tuple<connection_end, std::size_t, std::size_t>;

class reset_upload_test : public testing::TestWithParam<upload_case> {};

} // namespace

/** Guards against a part of a response that is reported as the whole after a reset. */
TEST_P(reset_upload_test, part_of_a_response_is_never_reported_as_complete)
{
    const auto [end, bytes, read_first] = GetParam();
    // The race between writing, reading and the reset has many orders.
    constexpr int repetitions = 10;
    for (int repetition = 0; repetition < repetitions; ++repetition) {
        const auto result = upload(end, bytes, std::min(read_first, bytes), unframed_response);
        ASSERT_FALSE(result) << "repetition " << repetition << ", body " << result->body;
        EXPECT_NE(result.reason().code, failure_code::unavailable);
    }
}

INSTANTIATE_TEST_SUITE_P(resets, reset_upload_test,
                         testing::Combine(testing::Values(connection_end::reset,
                                                          connection_end::reset_after_pause),
                                          testing::Values(1'000, 300'000, 5'000'000, 16'000'000),
                                          testing::Values(0, 200'000)));

/** Guards against a lost response where only the upload is incomplete. */
TEST(reset_upload, orderly_end_of_the_response_is_accepted_once_the_upload_is_read)
{
    for (const std::size_t bytes : {1'000UL, 300'000UL}) {
        const auto result = upload(connection_end::closed, bytes, 0, unframed_response);
        ASSERT_TRUE(result) << result.reason().message;
        EXPECT_EQ(result->body, "part");
    }
}

/**
 * Guards against a lost response of a server that ends it without reading the rest of the upload:
 * the end of the connection arrives in order, so that all bytes before it have arrived.
 */
TEST(reset_upload, orderly_end_while_the_upload_is_incomplete_is_accepted)
{
    for (const auto end : {connection_end::closed, connection_end::closed_then_reset}) {
        for (const std::size_t bytes : {1'000UL, 5'000'000UL, 16'000'000UL}) {
            const auto result = upload(end, bytes, 0, unframed_response);
            // After a reset, the client may see only that.
            EXPECT_TRUE(result || end == connection_end::closed_then_reset) << bytes;
            EXPECT_TRUE(!result || result->body == "part") << bytes;
        }
    }
}

} // namespace savorywheel::test
