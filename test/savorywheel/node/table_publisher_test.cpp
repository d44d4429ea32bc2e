#include <savorywheel/node/table_publisher.hpp>

#include <gtest/gtest.h>
#include <support/manual_clock.hpp>

namespace savorywheel::test {

namespace {

using namespace std::chrono_literals;

/** Table publisher with a manual clock. */
struct publisher_fixture {
    manual_clock time;
    control_loop loop{time};
    routing_table_holder tables;
    member_table members;
    table_publisher publisher{{loop, tables, [this]() -> const member_table& { return members; }}};

    void pass(duration step)
    {
        time.advance(step);
        loop.run_pending();
    }
};

} // namespace

TEST(table_publisher, a_configuration_is_published_at_once)
{
    publisher_fixture fixture;
    fixture.publisher.on_configuration(mesh_state{{3}, {}, {}});
    EXPECT_EQ(fixture.tables.current()->version(), config_version{3});
}

TEST(table_publisher, one_change_of_members_is_published_within_the_gathering_period)
{
    publisher_fixture fixture;
    fixture.pass(1s);
    const auto before = fixture.tables.current();
    fixture.publisher.on_members_changed();
    EXPECT_EQ(fixture.tables.current(), before);
    fixture.pass(20ms);
    EXPECT_NE(fixture.tables.current(), before);
}

TEST(table_publisher, many_changes_cause_ten_tables_a_second_at_most)
{
    publisher_fixture fixture;
    fixture.pass(1s);
    auto last = fixture.tables.current();
    int published = 0;
    for (int i = 0; i < 1000; ++i) {
        fixture.publisher.on_members_changed();
        fixture.pass(1ms);
        const auto current = fixture.tables.current();
        published += current != last ? 1 : 0;
        last = current;
    }
    EXPECT_GE(published, 9);
    EXPECT_LE(published, 11);
}

} // namespace savorywheel::test
