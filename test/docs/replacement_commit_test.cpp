#include <savorywheel/config/commit.hpp>
#include <savorywheel/encoding/codec.hpp>

#include <gtest/gtest.h>

#include <fstream>
#include <sstream>

namespace savorywheel::test {

TEST(operations_guide, example_replacement_commit_is_valid)
{
    std::ifstream page{std::string{SAVORYWHEEL_SOURCE_FOLDER} + "/docs/operations/distribution.md"};
    std::stringstream text;
    text << page.rdbuf();
    const auto content = text.str();
    const auto start = content.find("{\"object\"");
    ASSERT_NE(start, std::string::npos);
    const auto example_commit =
        decode_json<commit>(content.substr(start, content.find("}}\n", start) + 2 - start));
    ASSERT_TRUE(example_commit) << example_commit.reason().message << encode_json(commit{});
    EXPECT_EQ(example_commit->version, config_version{26});
    EXPECT_FALSE(example_commit->domains);
}

} // namespace savorywheel::test
