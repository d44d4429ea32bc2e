#include <savorywheel/encoding/json_slices.hpp>

#include <gtest/gtest.h>

namespace savorywheel::test {

namespace {

using slices = std::vector<std::string_view>;

} // namespace

TEST(json_slices, elements_are_split_outside_of_strings_and_brackets)
{
    EXPECT_EQ(json_elements(R"( [1, {"a":[2,3]} ,"x,]\"", 1e999] )"),
              (slices{"1", R"({"a":[2,3]})", R"("x,]\"")", "1e999"}));
    EXPECT_EQ(json_elements(R"(["\\","\\\",","a\""])"),
              (slices{R"("\\")", R"("\\\",")", R"("a\"")"}));
    EXPECT_EQ(json_elements("[]"), slices{});
    EXPECT_EQ(json_elements("[ \n]"), slices{});
}

TEST(json_slices, text_that_is_no_array_has_no_elements)
{
    for (const auto* text : {"", "7", "{}", "[", "]", "[1", R"(["a])", "[[1]", "[1]]", "[1}]"}) {
        EXPECT_FALSE(json_elements(text)) << text;
    }
}

TEST(json_slices, member_is_found_beside_others_that_cannot_be_parsed)
{
    constexpr std::string_view object =
        "{\"a\":\"\xff\", \"b\" : {\"c\":\"d:e,f\"} ,\"n\":1e999,\"\\u0065\":5}";
    EXPECT_EQ(json_member(object, "b"), R"({"c":"d:e,f"})");
    EXPECT_EQ(json_member(object, "n"), "1e999");
    EXPECT_EQ(json_member(object, "e"), "5");
    EXPECT_FALSE(json_member(object, "c"));
    EXPECT_EQ(json_member(R"({"a":1,"a":2})", "a"), "2");
}

TEST(json_slices, truncated_object_has_no_members)
{
    EXPECT_FALSE(json_member(R"({"items":[{"x":[1]})", "items"));
    EXPECT_FALSE(json_member(R"({"items":[1],"b":"})", "items"));
    EXPECT_FALSE(json_member("[]", "items"));
    EXPECT_FALSE(json_member("", "items"));
}

TEST(json_slices, scalars_of_another_type_are_nothing)
{
    EXPECT_EQ(json_text(R"("a\u00e9\n")"), "a\xc3\xa9\n");
    for (const auto* text : {"", "7", "null", "\"", "\"\xff\"", R"("\ud800")", R"("a" "b")"}) {
        EXPECT_FALSE(json_text(text)) << text;
    }
    EXPECT_EQ(json_number("18446744073709551615"), 18446744073709551615U);
    for (const auto* text : {"", "-1", "1.0", "1e3", "18446744073709551616", "\"7\"", "7 8"}) {
        EXPECT_FALSE(json_number(text)) << text;
    }
}

} // namespace savorywheel::test
