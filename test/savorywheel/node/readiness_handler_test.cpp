#include <savorywheel/node/readiness_handler.hpp>

#include <gtest/gtest.h>
#include <support/manual_clock.hpp>

namespace savorywheel::test {

namespace {

constexpr int ready = 200;
constexpr int not_ready = 503;

std::shared_ptr<const routing_table> make_table(std::size_t endpoints)
{
    auto routes = std::make_shared<service_routes>();
    routes->state = std::make_shared<service_state>();
    routes->endpoints.resize(endpoints);
    return std::make_shared<const routing_table>(
        config_version{3}, routing_table::route_map{{service_name{"bookdesk"}, routes}},
        std::make_shared<const host_table>());
}

} // namespace

TEST(readiness_handler, waits_for_the_configuration_and_a_backend_server)
{
    manual_clock time;
    routing_table_holder tables;
    readiness_handler subject{tables, time};
    EXPECT_EQ(subject.handle({}).status, not_ready);
    tables.publish(make_table(0));
    EXPECT_EQ(subject.handle({}).status, not_ready);
    tables.publish(make_table(1));
    EXPECT_EQ(subject.handle({}).status, ready);
}

TEST(readiness_handler, is_ready_without_backend_servers_after_the_longest_wait)
{
    manual_clock time;
    routing_table_holder tables;
    readiness_handler subject{tables, time};
    tables.publish(make_table(0));
    time.advance(std::chrono::seconds{3});
    EXPECT_EQ(subject.handle({}).status, ready);
}

TEST(readiness_handler, is_not_ready_while_stopping)
{
    manual_clock time;
    routing_table_holder tables;
    readiness_handler subject{tables, time};
    tables.publish(make_table(1));
    subject.set_stopping();
    EXPECT_EQ(subject.handle({}).status, not_ready);
}

} // namespace savorywheel::test
