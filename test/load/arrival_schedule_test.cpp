#include <gtest/gtest.h>
#include <load/arrival_schedule.hpp>

namespace savorywheel::test {

TEST(arrival_schedule, spreads_requests_evenly_from_the_start)
{
    using namespace std::chrono_literals;
    const monotonic_time start{5s};
    const load::arrival_schedule schedule{start, 250.0};
    EXPECT_EQ(schedule.due(0), start);
    EXPECT_EQ(schedule.due(1), start + 4ms);
    EXPECT_EQ(schedule.due(250), start + 1s);
    EXPECT_EQ(schedule.count_within(2s), 500U);
}

} // namespace savorywheel::test
