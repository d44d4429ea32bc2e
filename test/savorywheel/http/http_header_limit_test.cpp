#include <savorywheel/http/http_server.hpp>

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <support/loop_http_server.hpp>
#include <support/loopback_socket.hpp>
#include <support/raw_http_connection.hpp>
#include <support/recording_http_handler.hpp>
#include <unistd.h>

#include <string>
#include <string_view>
#include <vector>

namespace savorywheel::test {

namespace {

/** Bytes that the operators' limit allows for the header fields of a request. */
constexpr std::size_t max_header_bytes = 16'384;

constexpr std::string_view length_field = "Content-Length: 4\r\n";

struct request_shape {
    std::string name;
    std::string target;
    std::string fields;
};

/** Fields of the given size, together as long as the limit allows. */
std::string fields_of_size(std::size_t size)
{
    const std::string host = "Host: a\r\nContent-Length: 4\r\n";
    std::string fields = host;
    for (std::size_t i = 0; fields.size() + size <= max_header_bytes; ++i) {
        const auto name = fmt::format("x{:x}: ", i);
        fields += name + std::string(size - name.size() - 2, 'v') + "\r\n";
    }
    return fields;
}

std::vector<request_shape> shapes_at_the_limit()
{
    const std::string small = "Host: a\r\nContent-Length: 4\r\n";
    std::string arguments = "/?a=b";
    std::string cookies = "Cookie: a=b";
    while (arguments.size() < max_header_bytes - 64) {
        arguments += "&name=" + std::string(26, 'v');
    }
    while (small.size() + cookies.size() < max_header_bytes - 128) {
        cookies += "; name=" + std::string(121, 'v');
    }
    return {{"one large field", "/", fields_of_size(max_header_bytes - small.size())},
            {"fields of 1000 bytes", "/", fields_of_size(1000)},
            {"fields of 64 bytes", "/", fields_of_size(64)},
            {"fields of 32 bytes", "/", fields_of_size(32)},
            {"long target", "/" + std::string(max_header_bytes - 64, 't'), small},
            {"long target and large field", "/" + std::string(8'000, 't'),
             fields_of_size(max_header_bytes - small.size())},
            {"many arguments", arguments, small},
            {"many cookies", "/", small + cookies + "\r\n"}};
}

template<typename Server>
class http_header_limit : public testing::Test {
};

using servers = testing::Types<http_server, loop_http_server>;
TYPED_TEST_SUITE(http_header_limit, servers);

} // namespace

TYPED_TEST(http_header_limit, serves_requests_whose_header_has_the_size_that_operators_allow)
{
    network_endpoint endpoint;
    ::close(listen_on_loopback(endpoint));
    recording_http_handler handler;
    TypeParam server{handler};
    ASSERT_TRUE(server.start(endpoint));
    for (const auto& shape : shapes_at_the_limit()) {
        SCOPED_TRACE(shape.name);
        raw_http_connection connection{endpoint};
        for (int i = 0; i < 3; ++i) {
            EXPECT_TRUE(connection.send(
                fmt::format("POST {} HTTP/1.1\r\n{}\r\nbody", shape.target, shape.fields)));
            EXPECT_EQ(connection.read_status(), 200)
                << "request " << i << ": " << connection.body();
        }
        for (const auto& request : handler.take()) {
            EXPECT_EQ(request.target, shape.target);
            EXPECT_EQ(request.body, "body");
        }
    }
}

TYPED_TEST(http_header_limit, serves_long_bodies_behind_such_headers)
{
    network_endpoint endpoint;
    ::close(listen_on_loopback(endpoint));
    recording_http_handler handler;
    TypeParam server{handler};
    ASSERT_TRUE(server.start(endpoint));
    const std::string chunk(20'000, 'b');
    for (const auto& shape : shapes_at_the_limit()) {
        SCOPED_TRACE(shape.name);
        auto fields = shape.fields;
        fields.replace(fields.find(length_field), length_field.size(),
                       "Transfer-Encoding: chunked\r\n");
        raw_http_connection connection{endpoint};
        for (int i = 0; i < 3; ++i) {
            EXPECT_TRUE(
                connection.send(fmt::format("POST {} HTTP/1.1\r\n{}\r\n", shape.target, fields)));
            for (int sent = 0; sent < 10; ++sent) {
                EXPECT_TRUE(
                    connection.send(fmt::format("{:x};n=v\r\n{}\r\n", chunk.size(), chunk)));
            }
            EXPECT_TRUE(connection.send("0\r\n\r\n"));
            EXPECT_EQ(connection.read_status(), 200)
                << "request " << i << ": " << connection.body();
        }
        for (const auto& request : handler.take()) {
            EXPECT_EQ(request.body.size(), 10 * chunk.size());
        }
    }
}

} // namespace savorywheel::test
