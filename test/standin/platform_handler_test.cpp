#include <savorywheel/http/http_status.hpp>

#include <gtest/gtest.h>
#include <standin/platform/platform_handler.hpp>
#include <support/manual_clock.hpp>

namespace savorywheel::test {

namespace {

http_request creation(const std::string& key, std::string value)
{
    return {"PUT", "/objects/" + key, {{"If-None-Match", "*"}}, std::move(value)};
}

} // namespace

TEST(platform_handler, refuses_calls_above_its_rates_and_changes_nothing_by_them)
{
    manual_clock time;
    standin::object_table table;
    standin::platform_handler platform{table, time, {2.0, 1.0}};
    EXPECT_EQ(platform.handle(creation("a", "1")).status, status_created);
    EXPECT_EQ(platform.handle(creation("b", "1")).status, status_too_many_requests);
    EXPECT_FALSE(table.get("b"));
    const http_request watch{"GET", "/watch?prefix=a&after=0&patience_ms=0", {}, {}};
    EXPECT_EQ(platform.handle(watch).status, status_ok);
    EXPECT_EQ(platform.handle(watch).status, status_ok);
    EXPECT_EQ(platform.handle(watch).status, status_too_many_requests);
    time.advance(std::chrono::seconds{1});
    EXPECT_EQ(platform.handle(creation("b", "1")).status, status_created);
    EXPECT_EQ(platform.handle(watch).status, status_ok);
}

TEST(platform_handler, loses_the_answer_of_a_write_that_took_effect)
{
    manual_clock time;
    standin::object_table table;
    standin::platform_handler platform{table, time};
    static_cast<void>(platform.handle({"PUT", "/fault?lost_answers=1", {}, {}}));
    EXPECT_EQ(platform.handle(creation("a", "1")).status, status_gateway_timeout);
    EXPECT_TRUE(table.get("a"));
    EXPECT_EQ(platform.handle(creation("b", "1")).status, status_created);
}

TEST(platform_handler, refuses_a_value_above_one_megabyte)
{
    manual_clock time;
    standin::object_table table;
    standin::platform_handler platform{table, time};
    EXPECT_EQ(platform.handle(creation("a", std::string(1'000'000, 'x'))).status, status_created);
    EXPECT_EQ(platform.handle(creation("b", std::string(1'000'001, 'x'))).status,
              status_bad_request);
}

} // namespace savorywheel::test
