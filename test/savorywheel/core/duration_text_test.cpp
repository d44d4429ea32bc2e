#include <savorywheel/core/duration_text.hpp>

#include <gtest/gtest.h>

namespace savorywheel::test {

TEST(duration_text, number_and_unit_are_parsed)
{
    EXPECT_EQ(parse_duration("6s"), std::chrono::milliseconds{6000});
    EXPECT_EQ(parse_duration("1500ms"), std::chrono::milliseconds{1500});
    EXPECT_EQ(parse_duration("2.5s"), std::chrono::milliseconds{2500});
}

TEST(duration_text, text_without_a_valid_number_and_unit_is_rejected)
{
    for (const auto* text : {"", "6", "s", "6 s", "-1s", "nans", "1e300s", "6m"}) {
        EXPECT_FALSE(parse_duration(text)) << text;
    }
}

} // namespace savorywheel::test
