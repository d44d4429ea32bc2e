#include <savorywheel/config/commit.hpp>
#include <savorywheel/encoding/codec.hpp>

#include <gtest/gtest.h>

#include <fstream>
#include <sstream>

namespace savorywheel::test {

TEST(operators_page, the_commit_that_replaces_a_faulty_one_can_be_read)
{
    std::ifstream page{std::string{SAVORYWHEEL_SOURCE_FOLDER} + "/docs/operations/distribution.md"};
    std::stringstream text;
    text << page.rdbuf();
    const auto all = text.str();
    const auto start = all.find("{\"object\"");
    ASSERT_NE(start, std::string::npos);
    const auto item = decode_json<commit>(all.substr(start, all.find("}}\n", start) + 2 - start));
    ASSERT_TRUE(item) << item.reason().message << encode_json(commit{});
    EXPECT_EQ(item->version, config_version{26});
    EXPECT_FALSE(item->domains);
}

} // namespace savorywheel::test
