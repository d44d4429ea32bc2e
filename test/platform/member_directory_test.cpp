#include <savorywheel/node/member_directory.hpp>

#include <gtest/gtest.h>
#include <platform/object_api_store.hpp>
#include <platform/store_standin.hpp>
#include <support/control_world.hpp>
#include <support/recording_event_log.hpp>

namespace savorywheel::platform::test {

namespace {

using savorywheel::test::control_world;
using savorywheel::test::recording_event_log;
using std::chrono::milliseconds;

member_record make_record(const std::string& name, std::uint16_t port)
{
    member_record record;
    record.id = node_id{name};
    record.peer = {"127.0.0.1", port};
    return record;
}

/** Member directories on a fake metadata store and a simulated clock. */
class member_directory_test : public testing::Test {
protected:
    member_directory make_directory(const member_record& self)
    {
        return {self,
                member_directory::environment{world_.loop(), world_.worker(), world_.random(), log_,
                                              [this] { return !found_.empty(); },
                                              [this](std::span<const network_endpoint> peers) {
                                                  found_.assign(peers.begin(), peers.end());
                                              }}};
    }

    recording_event_log log_;
    store_standin standin_;
    object_api_store store_{standin_, network_endpoint{"127.0.0.1", 1}};
    control_world world_{store_};
    std::vector<network_endpoint> found_;
};

} // namespace

TEST_F(member_directory_test, nodes_find_each_other_through_the_store)
{
    auto first = make_directory(make_record("a", 1001));
    first.start();
    world_.pass(milliseconds{100});
    EXPECT_TRUE(found_.empty());
    auto second = make_directory(make_record("b", 1002));
    second.start();
    world_.pass(milliseconds{100});
    ASSERT_EQ(found_.size(), 1U);
    EXPECT_EQ(found_.front().port, 1001);
}

TEST_F(member_directory_test, a_node_that_starts_during_an_outage_is_found_after_it)
{
    standin_.fail_next(std::vector<store_fault>(2, store_fault::refused));
    auto subject = make_directory(make_record("a", 1001));
    subject.start();
    world_.pass(milliseconds{100});
    EXPECT_EQ(log_.count(event_id::directory_unreachable), 1U);
    world_.pass(milliseconds{2000});
    EXPECT_TRUE(store_.get("nodes/a"));
}

TEST_F(member_directory_test, a_registration_whose_answer_was_lost_counts)
{
    standin_.fail_next({store_fault::lost_answer});
    auto subject = make_directory(make_record("a", 1001));
    subject.start();
    world_.pass(milliseconds{2000});
    EXPECT_TRUE(store_.get("nodes/a"));
}

TEST_F(member_directory_test, an_entry_that_cannot_be_read_is_logged_and_passed_over)
{
    standin_.put("nodes", "x", {{"spec", "no record"}});
    auto other = make_directory(make_record("b", 1002));
    other.start();
    world_.pass(milliseconds{100});
    auto subject = make_directory(make_record("a", 1001));
    subject.start();
    world_.pass(milliseconds{100});
    EXPECT_EQ(found_.size(), 1U);
    EXPECT_GE(log_.count(event_id::directory_entry_unreadable), 1U);
}

TEST_F(member_directory_test, a_node_that_stops_takes_its_entry_away_or_logs_why_not)
{
    auto subject = make_directory(make_record("a", 1001));
    subject.start();
    world_.pass(milliseconds{100});
    subject.stop();
    world_.finish_store_calls();
    EXPECT_EQ(store_.get("nodes/a").reason().code, failure_code::not_found);
    const auto before = log_.count(event_id::directory_unreachable);
    standin_.fail_next({store_fault::too_many});
    subject.stop();
    world_.finish_store_calls();
    EXPECT_EQ(log_.count(event_id::directory_unreachable), before + 1);
}

} // namespace savorywheel::platform::test
