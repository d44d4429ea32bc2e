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

    void advance_time(duration step)
    {
        time.advance(step);
        loop.run_pending();
    }
};

} // namespace

TEST(table_publisher, publishes_a_configuration_immediately)
{
    publisher_fixture fixture;
    fixture.publisher.on_configuration(mesh_state{{3}, {}, {}});
    EXPECT_EQ(fixture.tables.current()->version(), config_version{3});
}

TEST(table_publisher, publishes_a_member_change_after_the_batching_delay)
{
    publisher_fixture fixture;
    fixture.advance_time(1s);
    const auto before = fixture.tables.current();
    fixture.publisher.on_members_changed();
    EXPECT_EQ(fixture.tables.current(), before);
    fixture.advance_time(20ms);
    EXPECT_NE(fixture.tables.current(), before);
}

TEST(table_publisher, publishes_at_most_ten_tables_per_second)
{
    publisher_fixture fixture;
    fixture.advance_time(1s);
    auto last = fixture.tables.current();
    int published = 0;
    for (int i = 0; i < 1000; ++i) {
        fixture.publisher.on_members_changed();
        fixture.advance_time(1ms);
        const auto current = fixture.tables.current();
        published += current != last ? 1 : 0;
        last = current;
    }
    EXPECT_GE(published, 9);
    EXPECT_LE(published, 11);
}

TEST(table_publisher, ignores_an_older_configuration)
{
    publisher_fixture fixture;
    operator_configuration configuration;
    configuration.version = config_version{12};
    host_route route;
    route.path = "/x/";
    route.shares = {{service_name{"bookdesk"}, 1}};
    configuration.hosts = {{"a.example", {route}}};
    fixture.publisher.on_configuration(mesh_state{configuration, {30}});
    fixture.publisher.on_configuration(mesh_state{{1}, {}, {}});
    fixture.advance_time(1s);
    const auto before = fixture.tables.current();
    fixture.publisher.on_members_changed();
    fixture.advance_time(20ms);
    const auto current = fixture.tables.current();
    EXPECT_NE(current, before);
    EXPECT_EQ(current->version(), config_version{30});
    EXPECT_EQ(current->operator_version(), config_version{12});
    EXPECT_NE(current->match("a.example", "/x/"), nullptr);
}

} // namespace savorywheel::test
