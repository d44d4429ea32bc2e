#include <savorywheel/traffic/response_sizes.hpp>

#include <gtest/gtest.h>

#include <string>

namespace savorywheel::test {

TEST(response_sizes, follows_the_sizes_of_a_route)
{
    const service_name certs{"certs"};
    response_sizes sizes;
    EXPECT_EQ(sizes.expected(certs, "/a/"), 0U);
    sizes.record(certs, "/a/", 80'000);
    EXPECT_EQ(sizes.expected(certs, "/a/"), 80'000U);
    sizes.record(certs, "/a/", 0);
    EXPECT_EQ(sizes.expected(certs, "/a/"), 70'000U);
    EXPECT_EQ(sizes.expected(certs, "/b/"), 0U);
    EXPECT_EQ(sizes.expected(service_name{"orders"}, "/a/"), 0U);
}

TEST(response_sizes, memory_is_bounded)
{
    const service_name service{"certs"};
    response_sizes sizes;
    for (int i = 0; i < 10'000; ++i) {
        sizes.record(service, std::to_string(i), 1000);
    }
    EXPECT_EQ(sizes.expected(service, "0"), 0U);
}

} // namespace savorywheel::test
