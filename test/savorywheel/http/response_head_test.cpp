#include <savorywheel/http/response_head.hpp>

#include <gtest/gtest.h>

#include <initializer_list>

namespace savorywheel::test {

namespace {

response_head read(std::initializer_list<std::string_view> lines)
{
    response_head head{http_client_limits{}};
    for (const auto line : lines) {
        EXPECT_TRUE(head.add_line(line));
    }
    return head;
}

using fields = std::vector<http_header>;

} // namespace

TEST(response_head, is_complete_after_the_empty_line)
{
    EXPECT_FALSE(read({}).complete());
    EXPECT_FALSE(read({"HTTP/1.1 200 OK\r\n", "A: 1\r\n"}).complete());
    const auto head = read({"HTTP/1.1 200 OK\r\n", "A: 1\r\n", "b:2 \r\n", "\r\n"});
    EXPECT_TRUE(head.complete());
    EXPECT_EQ(head.fields(), (fields{{"A", "1"}, {"b", "2"}}));
}

TEST(response_head, discards_the_fields_of_interim_responses)
{
    const auto interim = read({"HTTP/1.1 100 Continue\r\n", "A: 1\r\n", "\r\n"});
    EXPECT_FALSE(interim.complete());
    const auto head = read({"HTTP/1.1 103 Early Hints\r\n", "A: 1\r\n", "\r\n",
                            "HTTP/1.1 200 OK\r\n", "B: 2\r\n", "\r\n"});
    EXPECT_TRUE(head.complete());
    EXPECT_EQ(head.fields(), (fields{{"B", "2"}}));
}

TEST(response_head, discards_trailer_fields)
{
    const auto head = read({"HTTP/1.1 200 OK\r\n", "A: 1\r\n", "\r\n", "B: 2\r\n",
                            "HTTP/1.1 200 OK\r\n", "C: 3\r\n", "\r\n"});
    EXPECT_TRUE(head.complete());
    EXPECT_EQ(head.fields(), (fields{{"A", "1"}}));
}

TEST(response_head, field_name_that_resembles_a_status_line_discards_nothing)
{
    const auto head = read({"HTTP/1.1 200 OK\r\n", "A: 1\r\n", "HTTP/1.1: 100\r\n", "\r\n"});
    EXPECT_TRUE(head.complete());
    EXPECT_EQ(head.fields(), (fields{{"A", "1"}, {"HTTP/1.1", "100"}}));
}

TEST(response_head, continuation_line_is_part_of_the_value_before)
{
    const auto head = read({"HTTP/1.1 200 OK\r\n", " B: 2\r\n", "A: 1\r\n", "\tB: 2\r\n", "\r\n"});
    EXPECT_EQ(head.fields(), (fields{{"A", "1 B: 2"}}));
}

TEST(response_head, header_and_trailer_fields_count_towards_the_limit)
{
    response_head head{{.max_header_bytes = 30}};
    EXPECT_TRUE(head.add_line("HTTP/1.1 200 OK\r\n"));
    EXPECT_TRUE(head.add_line("\r\n"));
    EXPECT_TRUE(head.add_line("A: 1\r\n"));
    EXPECT_FALSE(head.add_line("A: 123\r\n"));
}

TEST(response_head, number_of_interim_responses_is_limited)
{
    response_head head{{.max_interim_responses = 1}};
    EXPECT_TRUE(head.add_line("HTTP/1.1 100 Continue\r\n"));
    EXPECT_TRUE(head.add_line("\r\n"));
    EXPECT_FALSE(head.add_line("HTTP/1.1 100 Continue\r\n"));
}

} // namespace savorywheel::test
