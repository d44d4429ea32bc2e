#include <savorywheel/encoding/json_fields.hpp>

#include <gtest/gtest.h>

namespace savorywheel::test {

namespace {

std::optional<std::chrono::milliseconds> parse(const std::string& text)
{
    return duration_field(json{{"timeout", text}}, "timeout");
}

} // namespace

TEST(duration_field, durations_are_rounded_to_milliseconds)
{
    EXPECT_EQ(parse("1500ms"), std::chrono::milliseconds{1500});
    EXPECT_EQ(parse("2.5s"), std::chrono::milliseconds{2500});
    EXPECT_EQ(parse("0ms"), std::chrono::milliseconds{0});
    EXPECT_EQ(parse("0.6ms"), std::chrono::milliseconds{1});
    EXPECT_EQ(parse("1e3ms"), std::chrono::milliseconds{1000});
}

TEST(duration_field, invalid_text_is_nothing)
{
    for (const auto* text :
         {"", "s", "ms", "5", "5 s", " 5s", "5m", "-1s", "+5s", "infs", "-infms", "nanms", "0x10s",
          "1e300s", "1e999ms", "9223372036854775807s", "5s5s"}) {
        EXPECT_FALSE(parse(text)) << text;
    }
    EXPECT_FALSE(duration_field(json{{"timeout", 5}}, "timeout"));
    EXPECT_FALSE(duration_field(json::array(), "timeout"));
}

} // namespace savorywheel::test
