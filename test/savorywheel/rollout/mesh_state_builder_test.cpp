#include <savorywheel/rollout/mesh_state_builder.hpp>
#include <savorywheel/rollout/move_shares.hpp>
#include <savorywheel/rollout/step_schedule.hpp>
#include <savorywheel/routing/routing_table_builder.hpp>
#include <savorywheel/routing/routing_table_holder.hpp>

#include <gtest/gtest.h>
#include <support/manual_clock.hpp>

#include <utility>

namespace savorywheel::test {

namespace {

const service_name service{"bookdesk"};

void add_member(member_table& members, const std::string& name, const std::string& version,
                monotonic_time now)
{
    member_record record;
    record.id = node_id{name};
    record.service = service;
    record.version = version_name{version};
    record.state = server_state::serving;
    record.incarnation = 1;
    members.merge({record, member_status::alive}, now);
}

operator_documents documents_with(const rollout_order& order)
{
    operator_documents documents;
    operator_configuration configuration;
    configuration.version = config_version{1};
    configuration.services = {service};
    documents.merge(configuration, 1);
    documents.merge(order);
    return documents;
}

rollout_order make_order()
{
    rollout_order order;
    order.service = service;
    order.target = version_name{"v2"};
    order.duration = std::chrono::seconds{14};
    order.revision = 5;
    return order;
}

/** Servers of two versions run; v2 has been ordered, and another order replaces that. */
class replaced_order_test : public testing::Test {
protected:
    replaced_order_test()
    {
        add_member(members_, "a", "v1", time_.now());
        add_member(members_, "b", "v2", time_.now());
    }

    static rollout_record make_record(move_status status)
    {
        rollout_record record;
        record.move.from = {{version_name{"v1"}, weight_sum_permille}};
        record.move.to = {{version_name{"v2"}, weight_sum_permille}};
        record.move.status = status;
        record.weights = status == move_status::done ? record.move.to : record.move.from;
        if (status == move_status::in_progress) {
            record.weights = {{version_name{"v1"}, 900}, {version_name{"v2"}, 100}};
        }
        return record;
    }

    static void replace_order(operator_documents& documents, const std::string& target)
    {
        auto order = documents.orders.front();
        order.previous = std::exchange(order.record, std::nullopt);
        order.target = version_name{target};
        ++order.revision;
        ASSERT_TRUE(documents.merge(order));
    }

    void expect_weights(mesh_state_builder& subject, const operator_documents& documents,
                        const std::vector<version_weight>& expected)
    {
        const auto state = subject.build(documents, members_, time_.calendar_now());
        const auto found = state.find(service);
        EXPECT_EQ(found->weights, expected);
        EXPECT_EQ(found->move->from, expected);
    }

    manual_clock time_;
    member_table members_;
};

} // namespace

TEST(mesh_state_builder, a_change_of_the_limits_on_callers_is_a_change_of_the_state)
{
    manual_clock time;
    const member_table members;
    auto documents = documents_with(make_order());
    mesh_state_builder subject;
    const auto before = subject.build(documents, members, time.calendar_now());
    EXPECT_EQ(subject.build(documents, members, time.calendar_now()), before);
    documents.configuration.limits.idle_timeout = std::chrono::milliseconds{30'000};
    const auto after = subject.build(documents, members, time.calendar_now());
    EXPECT_EQ(after.limits().idle_timeout, std::chrono::milliseconds{30'000});
    EXPECT_FALSE(after == before);
}

TEST(mesh_state_builder, target_version_has_no_traffic_before_the_first_step)
{
    manual_clock time;
    member_table members;
    add_member(members, "a", "v1", time.now());
    add_member(members, "b", "v2", time.now());
    mesh_state_builder subject;
    const auto state = subject.build(documents_with(make_order()), members, time.calendar_now());
    const auto joined = state.find(service);
    ASSERT_TRUE(joined && joined->move);
    ASSERT_EQ(joined->weights.size(), 1U);
    EXPECT_EQ(joined->weights.front().version, version_name{"v1"});
    EXPECT_EQ(joined->move->asked_at, config_version{5});
    EXPECT_TRUE(subject.depends_on_members());
}

TEST(mesh_state_builder, move_deadline_counts_from_the_first_observation)
{
    manual_clock time;
    member_table members;
    add_member(members, "a", "v1", time.now());
    mesh_state_builder subject;
    const auto documents = documents_with(make_order());
    const auto first = subject.build(documents, members, time.calendar_now());
    time.advance(std::chrono::seconds{3});
    const auto second = subject.build(documents, members, time.calendar_now());
    EXPECT_EQ(first.find(service)->move->due, second.find(service)->move->due);
}

TEST(mesh_state_builder, completed_order_has_no_active_move)
{
    manual_clock time;
    member_table members;
    add_member(members, "b", "v2", time.now());
    auto order = make_order();
    order.record = rollout_record{};
    order.record->move.status = move_status::done;
    order.record->weights = {{version_name{"v2"}, weight_sum_permille}};
    mesh_state_builder subject;
    const auto state = subject.build(documents_with(order), members, time.calendar_now());
    EXPECT_FALSE(state.find(service)->move.has_value());
    EXPECT_EQ(state.find(service)->weights.front().version, version_name{"v2"});
    EXPECT_FALSE(subject.depends_on_members());
}

// Guards against review case 6: an order back to the old version sent nearly all requests to the
// bad one, since the order began with all traffic at the versions that were not its target.
TEST_F(replaced_order_test, order_back_to_the_old_version_takes_effect_at_once)
{
    for (const bool has_record : {false, true}) {
        mesh_state_builder subject;
        auto documents = documents_with(make_order());
        if (has_record) {
            documents.orders.front().record = make_record(move_status::in_progress);
        }
        static_cast<void>(subject.build(documents, members_, time_.calendar_now()));
        replace_order(documents, "v1");
        expect_weights(subject, documents, {{version_name{"v1"}, weight_sum_permille}});
    }
}

TEST_F(replaced_order_test, node_that_starts_later_knows_what_the_replaced_order_left)
{
    add_member(members_, "c", "v3", time_.now());
    for (const auto status : {move_status::in_progress, move_status::withdrawn}) {
        for (const auto* target : {"v1", "v3"}) {
            auto documents = documents_with(make_order());
            documents.orders.front().record = make_record(status);
            replace_order(documents, target);
            mesh_state_builder subject;
            expect_weights(subject, documents, {{version_name{"v1"}, weight_sum_permille}});
        }
    }
    auto documents = documents_with(make_order());
    documents.orders.front().record = make_record(move_status::done);
    replace_order(documents, "v3");
    mesh_state_builder subject;
    expect_weights(subject, documents, {{version_name{"v2"}, weight_sum_permille}});
}

TEST_F(replaced_order_test, withdrawn_version_gets_no_share_although_it_is_the_only_one_running)
{
    member_table members;
    add_member(members, "b", "v2", time_.now());
    auto documents = documents_with(make_order());
    documents.orders.front().record = make_record(move_status::withdrawn);
    replace_order(documents, "v3");
    mesh_state_builder subject;
    const auto state = subject.build(documents, members, time_.calendar_now());
    EXPECT_EQ(share_of(state.find(service)->weights, version_name{"v2"}), 0U);
}

TEST_F(replaced_order_test, shares_of_versions_that_have_ended_go_to_the_running_ones)
{
    add_member(members_, "d", "v4", time_.now());
    auto documents = documents_with(make_order());
    auto record = make_record(move_status::in_progress);
    record.move.from = {
        {version_name{"v0"}, 500}, {version_name{"v1"}, 375}, {version_name{"v4"}, 125}};
    documents.orders.front().record = record;
    replace_order(documents, "v3");
    mesh_state_builder subject;
    expect_weights(subject, documents, {{version_name{"v1"}, 750}, {version_name{"v4"}, 250}});
}

TEST(step_schedule, schedule_of_a_short_move_limits_mean_exposure)
{
    for (const int seconds : {8, 14, 16, 30}) {
        rollout_move move;
        move.due = move.started_at + std::chrono::seconds{seconds};
        const auto whole = std::chrono::seconds{seconds} / std::chrono::milliseconds{1};
        double exposed = 0.0;
        std::uint32_t share = 0;
        for (int at = 0; at < whole; ++at) {
            const auto now = move.started_at + std::chrono::milliseconds{at};
            const auto next = next_progress(move, share);
            if (share < weight_sum_permille && now >= scheduled_time(move, next)) {
                share = next;
            }
            if (share < weight_sum_permille) {
                exposed += share / double{weight_sum_permille};
            }
        }
        EXPECT_EQ(share, weight_sum_permille);
        EXPECT_LE(exposed / static_cast<double>(whole), 0.1) << seconds;
        EXPECT_LE(scheduled_time(move, weight_sum_permille) + drain_time, *move.due);
    }
}

TEST(mesh_state_builder, table_of_a_newer_configuration_is_published_at_any_revision)
{
    manual_clock time;
    const member_table members;
    operator_documents documents;
    operator_configuration configuration;
    configuration.version = config_version{7};
    ASSERT_TRUE(documents.merge(configuration, 21));
    mesh_state_builder subject;
    routing_table_builder tables;
    routing_table_holder published;
    tables.set_state(subject.build(documents, members, time.calendar_now()));
    ASSERT_TRUE(published.publish(tables.build(members)));

    configuration.version = config_version{9};
    host_route route;
    route.path = "/x/";
    route.shares = {{service, 1}};
    configuration.hosts = {{"a.example", {route}}};
    ASSERT_TRUE(documents.merge(configuration, 20));
    tables.set_state(subject.build(documents, members, time.calendar_now()));
    EXPECT_TRUE(published.publish(tables.build(members)));
    EXPECT_NE(published.current()->match("a.example", "/x/"), nullptr);
}

TEST(mesh_state_builder, every_service_of_a_route_is_in_the_table)
{
    manual_clock time;
    const member_table members;
    auto documents = documents_with(make_order());
    host_route route;
    route.path = "/x/";
    route.shares = {{service_name{"unlisted"}, 1}, {service, 1}};
    auto configuration = documents.configuration;
    configuration.version = config_version{2};
    configuration.services = {};
    configuration.hosts = {{"a.example", {route}}};
    ASSERT_TRUE(documents.merge(configuration, 6));
    mesh_state_builder subject;
    routing_table_builder tables;
    tables.set_state(subject.build(documents, members, time.calendar_now()));
    const auto table = tables.build(members);
    EXPECT_NE(table->find(service_name{"unlisted"}), nullptr);
    EXPECT_NE(table->find(service), nullptr);
}

} // namespace savorywheel::test
