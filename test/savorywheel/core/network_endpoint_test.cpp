#include <savorywheel/core/network_endpoint.hpp>

#include <gtest/gtest.h>

namespace savorywheel::test {

TEST(network_endpoint, round_trips_through_text)
{
    const auto endpoint = parse_endpoint("127.0.0.1:7002");
    ASSERT_TRUE(endpoint);
    EXPECT_EQ(endpoint->address, "127.0.0.1");
    EXPECT_EQ(endpoint->port, 7002);
    EXPECT_EQ(to_string(*endpoint), "127.0.0.1:7002");
}

TEST(network_endpoint, rejects_malformed_text)
{
    for (const auto* text : {"", ":", ":80", "127.0.0.1", "127.0.0.1:", "127.0.0.1:x",
                             "127.0.0.1:70000", "127.0.0.1:80x", "127.0.0.1:-1"}) {
        EXPECT_FALSE(parse_endpoint(text)) << text;
    }
}

} // namespace savorywheel::test
