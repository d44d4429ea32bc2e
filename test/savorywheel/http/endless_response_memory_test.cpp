#include <savorywheel/core/allocator.hpp>
#include <savorywheel/http/curl_http_client.hpp>

#include <gtest/gtest.h>
#include <support/endless_server.hpp>

#include <fstream>
#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace savorywheel::test {

namespace {

constexpr std::size_t concurrent_calls = 24;
constexpr int calls_per_thread = 4;
constexpr std::chrono::milliseconds deadline{2000};
/** Of the 88 MB of the smallest VM, what a node may use for the responses of a faulty server. */
constexpr std::size_t max_growth_kilobytes = 64UL * 1024UL;

/** Largest resident memory of this process so far. */
std::size_t peak_kilobytes()
{
    std::ifstream status{"/proc/self/status"};
    std::string field;
    while (status >> field) {
        if (field == "VmHWM:") {
            std::size_t kilobytes{};
            status >> kilobytes;
            return kilobytes;
        }
    }
    return 0;
}

/** Calls a server that never ends its response, many times at once, and returns the growth. */
std::size_t growth_with(const std::string& start, const std::string& repeated)
{
    EXPECT_TRUE(return_large_blocks_to_the_system());
    std::vector<std::unique_ptr<endless_server>> servers;
    for (std::size_t i = 0; i < concurrent_calls; ++i) {
        servers.push_back(std::make_unique<endless_server>(start, repeated));
    }
    curl_http_client client{response_framing::allow_close_delimited};
    const auto before = peak_kilobytes();
    std::vector<std::thread> callers;
    callers.reserve(servers.size());
    for (const auto& server : servers) {
        callers.emplace_back([&client, &server] {
            for (int i = 0; i < calls_per_thread; ++i) {
                EXPECT_FALSE(client.send(server->endpoint(), {"GET", "/", {}, {}}, deadline));
            }
        });
    }
    for (auto& caller : callers) {
        caller.join();
    }
    return peak_kilobytes() - before;
}

constexpr std::string_view chunked_head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

} // namespace

TEST(endless_response_memory, endless_bodies_do_not_exhaust_the_memory)
{
    EXPECT_LT(growth_with("HTTP/1.1 200 OK\r\n\r\n", "x"), max_growth_kilobytes);
}

TEST(endless_response_memory, endless_chunked_bodies_do_not_exhaust_the_memory)
{
    EXPECT_LT(growth_with(std::string{chunked_head}, "8\r\n12345678\r\n"), max_growth_kilobytes);
}

TEST(endless_response_memory, endless_chunk_headers_do_not_exhaust_the_memory)
{
    EXPECT_LT(growth_with(std::string{chunked_head} + "1;a=", "x"), max_growth_kilobytes);
}

TEST(endless_response_memory, endless_heads_do_not_exhaust_the_memory)
{
    EXPECT_LT(growth_with("HTTP/1.1 200 OK\r\n", "A: 1\r\n"), max_growth_kilobytes);
}

TEST(endless_response_memory, an_endless_header_line_does_not_exhaust_the_memory)
{
    EXPECT_LT(growth_with("HTTP/1.1 200 OK\r\nA: ", "x"), max_growth_kilobytes);
}

TEST(endless_response_memory, endless_bytes_without_a_status_line_do_not_exhaust_the_memory)
{
    EXPECT_LT(growth_with("", "x"), max_growth_kilobytes);
}

TEST(endless_response_memory, endless_interim_responses_do_not_exhaust_the_memory)
{
    EXPECT_LT(growth_with("", "HTTP/1.1 100 Continue\r\n\r\n"), max_growth_kilobytes);
}

} // namespace savorywheel::test
