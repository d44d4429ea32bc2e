#include <savorywheel/http/http_status.hpp>

#include <gtest/gtest.h>
#include <standin/platform/platform_handler.hpp>
#include <support/manual_clock.hpp>

namespace savorywheel::test {

namespace {

http_request make_create_request(const std::string& key, std::string value)
{
    return {"PUT", "/objects/" + key, {{"If-None-Match", "*"}}, std::move(value)};
}

} // namespace

TEST(platform_handler, rejects_calls_above_the_rate_limits_without_effect)
{
    manual_clock time;
    standin::in_memory_object_store store;
    standin::platform_handler platform{store, time, {2.0, 1.0}};
    EXPECT_EQ(platform.handle(make_create_request("a", "1")).status, status_created);
    EXPECT_EQ(platform.handle(make_create_request("b", "1")).status, status_too_many_requests);
    EXPECT_FALSE(store.get("b"));
    const http_request watch{"GET", "/watch?prefix=a&after=0&patience_ms=0", {}, {}};
    EXPECT_EQ(platform.handle(watch).status, status_ok);
    EXPECT_EQ(platform.handle(watch).status, status_ok);
    EXPECT_EQ(platform.handle(watch).status, status_too_many_requests);
    time.advance(std::chrono::seconds{1});
    EXPECT_EQ(platform.handle(make_create_request("b", "1")).status, status_created);
    EXPECT_EQ(platform.handle(watch).status, status_ok);
}

TEST(platform_handler, applies_a_write_whose_response_is_lost)
{
    manual_clock time;
    standin::in_memory_object_store store;
    standin::platform_handler platform{store, time};
    static_cast<void>(platform.handle({"PUT", "/fault?lost_answers=1", {}, {}}));
    EXPECT_EQ(platform.handle(make_create_request("a", "1")).status, status_gateway_timeout);
    EXPECT_TRUE(store.get("a"));
    EXPECT_EQ(platform.handle(make_create_request("b", "1")).status, status_created);
}

TEST(platform_handler, rejects_values_above_one_megabyte)
{
    manual_clock time;
    standin::in_memory_object_store store;
    standin::platform_handler platform{store, time};
    EXPECT_EQ(platform.handle(make_create_request("a", std::string(1'000'000, 'x'))).status,
              status_created);
    EXPECT_EQ(platform.handle(make_create_request("b", std::string(1'000'001, 'x'))).status,
              status_bad_request);
}

} // namespace savorywheel::test
