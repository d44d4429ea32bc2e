#include <savorywheel/http/http_server.hpp>

#include <gtest/gtest.h>
#include <support/loop_http_server.hpp>
#include <support/loopback_socket.hpp>
#include <support/raw_http_connection.hpp>
#include <support/recording_http_handler.hpp>
#include <unistd.h>

#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace savorywheel::test {

namespace {

/** A proper request and what the handler must receive. */
struct request_shape {
    std::string name;
    std::string bytes;
    http_request expected;
};

std::string text_of(const http_request& request)
{
    std::string text = request.method + " " + request.target + "\n";
    for (const auto& header : request.headers) {
        text += header.name + ": " + header.value + "\n";
    }
    return text + "\n" + request.body;
}

std::vector<request_shape> target_shapes()
{
    const std::vector<http_header> host{{"Host", "a"}};
    return {
        {"escapes",
         "GET /a%2Fb%20c/%zz%?x=%41&y=1+2&&=z HTTP/1.1\r\nHost: a\r\n\r\n",
         {"GET", "/a%2Fb%20c/%zz%?x=%41&y=1+2&&=z", host, {}}},
        {"escaped NUL", "GET /a%00b HTTP/1.1\r\nHost: a\r\n\r\n", {"GET", "/a%00b", host, {}}},
        {"bytes that are not UTF-8",
         "GET /a\xff\xfe/b?\xe9 HTTP/1.1\r\nHost: a\r\n\r\n",
         {"GET", "/a\xff\xfe/b?\xe9", host, {}}},
        {"dots and slashes",
         "GET //a/../b/./c// HTTP/1.1\r\nHost: a\r\n\r\n",
         {"GET", "//a/../b/./c//", host, {}}},
        {"empty query", "GET /a? HTTP/1.1\r\nHost: a\r\n\r\n", {"GET", "/a?", host, {}}},
        {"absolute form",
         "GET http://a/b/c?d=e HTTP/1.1\r\nHost: a\r\n\r\n",
         {"GET", "/b/c?d=e", host, {}}},
        {"absolute form without path",
         "GET HTTP://a HTTP/1.1\r\nHost: a\r\n\r\n",
         {"GET", "/", host, {}}},
        {"absolute form with query only",
         "GET http://a?b HTTP/1.1\r\nHost: a\r\n\r\n",
         {"GET", "/?b", host, {}}},
        {"absolute form overrides Host",
         "GET http://a:80/b HTTP/1.1\r\nHost: c\r\n\r\n",
         {"GET", "/b", {{"Host", "a:80"}}, {}}},
        {"URL in the query",
         "GET /a?u=http://b/c HTTP/1.1\r\nHost: a\r\n\r\n",
         {"GET", "/a?u=http://b/c", host, {}}},
        {"HTTP/1.0",
         "GET /a HTTP/1.0\r\nHost: a\r\nConnection: keep-alive\r\n\r\n",
         {"GET", "/a", {{"Host", "a"}, {"Connection", "keep-alive"}}, {}}},
        {"empty line before the request",
         "\r\nGET /a HTTP/1.1\r\nHost: a\r\n\r\n",
         {"GET", "/a", host, {}}},
        {"other method", "PROPFIND /a HTTP/1.1\r\nHost: a\r\n\r\n", {"PROPFIND", "/a", host, {}}},
    };
}

std::vector<request_shape> field_shapes()
{
    return {
        {"lower-case names",
         "GET / HTTP/1.1\r\nhost: a\r\nx-b: c\r\n\r\n",
         {"GET", "/", {{"host", "a"}, {"x-b", "c"}}, {}}},
        {"no space and trailing space",
         "GET / HTTP/1.1\r\nHost:a\r\nX: \t b c \t\r\n\r\n",
         {"GET", "/", {{"Host", "a"}, {"X", "b c"}}, {}}},
        {"empty value",
         "GET / HTTP/1.1\r\nHost: a\r\nX:\r\nY: \r\n\r\n",
         {"GET", "/", {{"Host", "a"}, {"X", ""}, {"Y", ""}}, {}}},
        {"repeated name",
         "GET / HTTP/1.1\r\nHost: a\r\nX: 1\r\nY: 2\r\nx: 3\r\nX: 1\r\n\r\n",
         {"GET", "/", {{"Host", "a"}, {"X", "1"}, {"Y", "2"}, {"x", "3"}, {"X", "1"}}, {}}},
        {"values with separators",
         "GET / HTTP/1.1\r\nHost: a\r\nX: a:b, \"c;d\"=e%20\\f\r\nCookie: p=q; r=\"s t\"\r\n\r\n",
         {"GET",
          "/",
          {{"Host", "a"}, {"X", "a:b, \"c;d\"=e%20\\f"}, {"Cookie", "p=q; r=\"s t\""}},
          {}}},
        {"bytes that are not UTF-8",
         "GET / HTTP/1.1\r\nHost: a\r\nX: \xff\xe9 b\r\n\r\n",
         {"GET", "/", {{"Host", "a"}, {"X", "\xff\xe9 b"}}, {}}},
        {"token characters in a name",
         "GET / HTTP/1.1\r\nHost: a\r\n!#$%&'*+-.^_`|~1: b\r\n\r\n",
         {"GET", "/", {{"Host", "a"}, {"!#$%&'*+-.^_`|~1", "b"}}, {}}},
        {"authorization",
         "GET / HTTP/1.1\r\nHost: a\r\nAuthorization: Basic !!!\r\n\r\n",
         {"GET", "/", {{"Host", "a"}, {"Authorization", "Basic !!!"}}, {}}},
    };
}

std::vector<request_shape> body_shapes()
{
    const std::string bytes{"\0\r\n\xff\r\n\r\nz", 9};
    return {
        {"GET with length 0",
         "GET / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n",
         {"GET", "/", {{"Host", "a"}, {"Content-Length", "0"}}, {}}},
        {"GET with a body",
         "GET / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc",
         {"GET", "/", {{"Host", "a"}, {"Content-Length", "3"}}, "abc"}},
        {"DELETE with a body",
         "DELETE / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc",
         {"DELETE", "/", {{"Host", "a"}, {"Content-Length", "3"}}, "abc"}},
        {"POST without a body",
         "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n",
         {"POST", "/", {{"Host", "a"}, {"Content-Length", "0"}}, {}}},
        {"length with leading zeros",
         "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 003\r\n\r\nabc",
         {"POST", "/", {{"Host", "a"}, {"Content-Length", "003"}}, "abc"}},
        {"binary body",
         "PUT / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\n" + bytes,
         {"PUT", "/", {{"Host", "a"}, {"Content-Length", "9"}}, bytes}},
        {"chunks",
         "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
         "3\r\nabc\r\n0A\r\n0123456789\r\n0\r\n\r\n",
         {"POST", "/", {{"Host", "a"}, {"Transfer-Encoding", "chunked"}}, "abc0123456789"}},
        {"chunks with extensions and trailers",
         "POST / HTTP/1.1\r\nHost: a\r\ntransfer-encoding: Chunked\r\nTrailer: T\r\n\r\n"
         "3;n=v\r\nabc\r\n2;n=\"q\"\r\nde\r\n0;last\r\nT: u\r\n\r\n",
         {"POST",
          "/",
          {{"Host", "a"}, {"transfer-encoding", "Chunked"}, {"Trailer", "T"}},
          "abcde"}},
        {"no chunk",
         "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
         {"POST", "/", {{"Host", "a"}, {"Transfer-Encoding", "chunked"}}, {}}},
        {"expectation",
         "POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\nabc",
         {"POST",
          "/",
          {{"Host", "a"}, {"Expect", "100-continue"}, {"Content-Length", "3"}},
          "abc"}},
    };
}

std::vector<request_shape> form_shapes()
{
    const std::string form = "application/x-www-form-urlencoded";
    const std::string multipart = "multipart/form-data; boundary=x";
    const std::string parts = "--x\r\nContent-Disposition: form-data; name=\"f\"; filename=\"g\""
                              "\r\n\r\nbytes\r\n--x--\r\n";
    const std::string bytes{"\0\r\n\xff\r\n\r\nz", 9};
    return {
        {"form",
         "POST / HTTP/1.1\r\nHost: a\r\nContent-Type: " + form +
             "\r\nContent-Length: 9\r\n\r\na=b&c=%zz",
         {"POST",
          "/",
          {{"Host", "a"}, {"Content-Type", form}, {"Content-Length", "9"}},
          "a=b&c=%zz"}},
        {"form that is none",
         "POST / HTTP/1.1\r\nHost: a\r\nContent-Type: " + form + "\r\nContent-Length: 9\r\n\r\n" +
             bytes,
         {"POST", "/", {{"Host", "a"}, {"Content-Type", form}, {"Content-Length", "9"}}, bytes}},
        {"multipart",
         "POST / HTTP/1.1\r\nHost: a\r\nContent-Type: " + multipart +
             "\r\nContent-Length: " + std::to_string(parts.size()) + "\r\n\r\n" + parts,
         {"POST",
          "/",
          {{"Host", "a"},
           {"Content-Type", multipart},
           {"Content-Length", std::to_string(parts.size())}},
          parts}},
        {"multipart that is none",
         "POST / HTTP/1.1\r\nHost: a\r\nContent-Type: " + multipart +
             "\r\nContent-Length: 9\r\n\r\n" + bytes,
         {"POST",
          "/",
          {{"Host", "a"}, {"Content-Type", multipart}, {"Content-Length", "9"}},
          bytes}},
        {"multipart without boundary",
         "POST / HTTP/1.1\r\nHost: a\r\nContent-Type: multipart/form-data\r\n"
         "Content-Length: 3\r\n\r\nabc",
         {"POST",
          "/",
          {{"Host", "a"}, {"Content-Type", "multipart/form-data"}, {"Content-Length", "3"}},
          "abc"}},
    };
}

std::vector<request_shape> all_shapes()
{
    auto shapes = target_shapes();
    for (const auto& others : {field_shapes(), form_shapes(), body_shapes()}) {
        shapes.insert(shapes.end(), others.begin(), others.end());
    }
    return shapes;
}

template<typename Server>
class http_request_shapes : public testing::Test {
protected:
    http_request_shapes() { ::close(listen_on_loopback(endpoint_)); }

    network_endpoint endpoint_;
    recording_http_handler handler_;
    Server server_{handler_};
};

template<typename Server>
class http_framing_fields : public testing::Test {
};

using servers = testing::Types<http_server, loop_http_server>;
TYPED_TEST_SUITE(http_request_shapes, servers);
TYPED_TEST_SUITE(http_framing_fields, servers);

void expect_requests(const std::vector<http_request>& requests, const http_request& expected,
                     std::size_t count)
{
    EXPECT_EQ(requests.size(), count);
    for (const auto& request : requests) {
        EXPECT_EQ(text_of(request), text_of(expected));
    }
}

} // namespace

TYPED_TEST(http_request_shapes, reach_the_handler_unchanged_on_a_kept_connection)
{
    ASSERT_TRUE(this->server_.start(this->endpoint_));
    for (const auto& shape : all_shapes()) {
        SCOPED_TRACE(shape.name);
        raw_http_connection connection{this->endpoint_};
        for (int i = 0; i < 3; ++i) {
            EXPECT_TRUE(connection.send(shape.bytes));
            EXPECT_EQ(connection.read_status(), 200) << "request " << i;
        }
        expect_requests(this->handler_.take(), shape.expected, 3);
    }
}

TYPED_TEST(http_request_shapes, reach_the_handler_unchanged_when_pipelined)
{
    ASSERT_TRUE(this->server_.start(this->endpoint_));
    for (const auto& shape : all_shapes()) {
        SCOPED_TRACE(shape.name);
        raw_http_connection connection{this->endpoint_};
        EXPECT_TRUE(connection.send(shape.bytes + shape.bytes));
        EXPECT_EQ(connection.read_status(), 200);
        EXPECT_EQ(connection.read_status(), 200);
        expect_requests(this->handler_.take(), shape.expected, 2);
    }
}

TYPED_TEST(http_request_shapes, reach_the_handler_unchanged_when_split)
{
    ASSERT_TRUE(this->server_.start(this->endpoint_));
    for (const auto& shape : all_shapes()) {
        SCOPED_TRACE(shape.name);
        raw_http_connection connection{this->endpoint_};
        const std::string_view bytes = shape.bytes;
        const auto half = bytes.size() / 2;
        EXPECT_TRUE(connection.send(bytes.substr(0, half)));
        std::this_thread::sleep_for(std::chrono::milliseconds{5});
        EXPECT_TRUE(connection.send(bytes.substr(half)));
        EXPECT_EQ(connection.read_status(), 200);
        expect_requests(this->handler_.take(), shape.expected, 1);
    }
}

TYPED_TEST(http_framing_fields, accept_trailing_space)
{
    network_endpoint endpoint;
    ::close(listen_on_loopback(endpoint));
    recording_http_handler handler;
    TypeParam server{handler};
    ASSERT_TRUE(server.start(endpoint));
    raw_http_connection with_length{endpoint};
    EXPECT_TRUE(with_length.send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3 \r\n\r\nabc"));
    EXPECT_EQ(with_length.read_status(), 200);
    raw_http_connection in_chunks{endpoint};
    EXPECT_TRUE(in_chunks.send("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked \r\n\r\n"
                               "3\r\nabc\r\n0\r\n\r\n"));
    EXPECT_EQ(in_chunks.read_status(), 200);
}

} // namespace savorywheel::test
