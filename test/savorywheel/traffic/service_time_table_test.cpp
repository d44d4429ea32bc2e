#include <savorywheel/core/seeded_random.hpp>
#include <savorywheel/traffic/service_time_table.hpp>

#include <gtest/gtest.h>

#include <string>

namespace savorywheel::test {

namespace {

using std::chrono::milliseconds;

} // namespace

// Guards against one mean for calls whose cost differs by a factor of ten.
TEST(service_time_table, tells_routes_apart_and_recognises_the_short_one)
{
    service_time_table table;
    for (int i = 0; i < 200; ++i) {
        table.record("/short", milliseconds{30});
        table.record("/long", milliseconds{300});
    }
    EXPECT_EQ(table.expect("/short").mean, milliseconds{30});
    EXPECT_EQ(table.expect("/long").mean, milliseconds{300});
    EXPECT_TRUE(table.expect("/short").is_short);
    EXPECT_FALSE(table.expect("/long").is_short);
}

// Guards against every route of a uniform service being treated as short or long by chance.
TEST(service_time_table, unknown_route_gets_the_values_of_all_routes)
{
    service_time_table table;
    EXPECT_EQ(table.expect("/new").mean, duration::zero());
    for (int i = 0; i < 20; ++i) {
        table.record("/known", milliseconds{100});
    }
    table.record("/new", milliseconds{900});
    EXPECT_GT(table.expect("/new").mean, milliseconds{100});
    EXPECT_LT(table.expect("/new").mean, milliseconds{300});
    EXPECT_FALSE(table.expect("/new").is_short);
    EXPECT_FALSE(table.expect("/known").is_short);
}

// Guards against a quantile that stays at its initial value or drifts away.
TEST(service_time_table, high_time_covers_nineteen_of_twenty_calls)
{
    service_time_table table;
    seeded_random random{1};
    int above = 0;
    constexpr int calls = 4000;
    for (int i = 0; i < calls; ++i) {
        const milliseconds sample{20 + static_cast<int>(random.below(160))};
        above += i >= calls / 2 && sample > table.expect("/r").high ? 1 : 0;
        table.record("/r", sample);
    }
    EXPECT_GT(above, calls / 2 * 2 / 100);
    EXPECT_LT(above, calls / 2 * 10 / 100);
}

// Guards against growth with the number of routes of the configuration.
TEST(service_time_table, keeps_a_bounded_number_of_routes_and_the_recent_ones)
{
    service_time_table table;
    for (int i = 0; i < 804; ++i) {
        table.record("/" + std::to_string(i), milliseconds{50});
        table.record("/used", milliseconds{200});
    }
    EXPECT_LE(table.size(), 64U);
    EXPECT_EQ(table.expect("/used").mean, milliseconds{200});
}

} // namespace savorywheel::test
