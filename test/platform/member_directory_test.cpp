#include <savorywheel/encoding/codec.hpp>
#include <savorywheel/node/member_directory.hpp>

#include <gtest/gtest.h>
#include <platform/fake_metadata_store.hpp>
#include <platform/object_api_store.hpp>
#include <support/control_loop_fixture.hpp>
#include <support/recording_event_log.hpp>

namespace savorywheel::platform::test {

namespace {

using savorywheel::test::control_loop_fixture;
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
                member_directory::environment{fixture_.loop(), fixture_.worker(), fixture_.random(),
                                              log_, [this] { return !discovered_.empty(); },
                                              [this](std::span<const network_endpoint> peers) {
                                                  discovered_.assign(peers.begin(), peers.end());
                                              }}};
    }

    recording_event_log log_;
    fake_metadata_store fake_store_;
    object_api_store store_{fake_store_, network_endpoint{"127.0.0.1", 1}, log_};
    control_loop_fixture fixture_{store_};
    std::vector<network_endpoint> discovered_;
};

} // namespace

TEST_F(member_directory_test, nodes_discover_each_other_through_the_store)
{
    auto first = make_directory(make_record("a", 1001));
    first.start();
    fixture_.advance_time(milliseconds{100});
    EXPECT_TRUE(discovered_.empty());
    auto second = make_directory(make_record("b", 1002));
    second.start();
    fixture_.advance_time(milliseconds{100});
    ASSERT_EQ(discovered_.size(), 1U);
    EXPECT_EQ(discovered_.front().port, 1001);
}

TEST_F(member_directory_test, node_started_during_an_outage_registers_after_it)
{
    fake_store_.fail_next(std::vector<store_fault>(2, store_fault::refused));
    auto subject = make_directory(make_record("a", 1001));
    subject.start();
    fixture_.advance_time(milliseconds{100});
    EXPECT_EQ(log_.count(event_id::directory_unreachable), 1U);
    fixture_.advance_time(milliseconds{2000});
    EXPECT_TRUE(store_.get("nodes/a"));
}

TEST_F(member_directory_test, registration_with_lost_response_succeeds)
{
    fake_store_.fail_next({store_fault::lost_answer});
    auto subject = make_directory(make_record("a", 1001));
    subject.start();
    fixture_.advance_time(milliseconds{2000});
    EXPECT_TRUE(store_.get("nodes/a"));
}

TEST_F(member_directory_test, malformed_entry_is_logged_and_skipped)
{
    fake_store_.put("nodes", "x", {{"spec", "no record"}});
    auto other = make_directory(make_record("b", 1002));
    other.start();
    fixture_.advance_time(milliseconds{100});
    auto subject = make_directory(make_record("a", 1001));
    subject.start();
    fixture_.advance_time(milliseconds{100});
    EXPECT_EQ(discovered_.size(), 1U);
    EXPECT_GE(log_.count(event_id::directory_entry_unreadable), 1U);
}

TEST_F(member_directory_test, entry_with_an_unusable_endpoint_is_logged_and_skipped)
{
    const std::vector<network_endpoint> endpoints{
        {"127.0.0.1", 0}, {"", 1001}, {"nowhere", 1001}, {"::1", 1001}, {"300.1.1.1", 1001}};
    for (const auto& endpoint : endpoints) {
        auto record = make_record("x" + std::to_string(fake_store_.calls().size()), 1001);
        record.peer = endpoint;
        ASSERT_TRUE(store_.create("nodes/" + record.id.str(), encode_json(record)));
    }
    auto other = make_directory(make_record("b", 1002));
    other.start();
    fixture_.advance_time(milliseconds{100});
    EXPECT_TRUE(discovered_.empty());
    EXPECT_EQ(log_.count(event_id::directory_entry_unreadable), endpoints.size());
}

TEST_F(member_directory_test, stopping_node_removes_its_entry_or_logs_the_failure)
{
    auto subject = make_directory(make_record("a", 1001));
    subject.start();
    fixture_.advance_time(milliseconds{100});
    subject.stop();
    fixture_.finish_store_calls();
    EXPECT_EQ(store_.get("nodes/a").reason().code, failure_code::not_found);
    const auto before = log_.count(event_id::directory_unreachable);
    fake_store_.fail_next({store_fault::too_many_requests});
    subject.stop();
    fixture_.finish_store_calls();
    EXPECT_EQ(log_.count(event_id::directory_unreachable), before + 1);
}

/** Guards against nodes that nobody can find after a restore. */
TEST_F(member_directory_test, entry_is_written_again_after_a_restore)
{
    discovered_.push_back({"127.0.0.1", 1002});
    fake_store_.back_up();
    auto subject = make_directory(make_record("a", 1001));
    subject.start();
    fixture_.advance_time(milliseconds{100});
    ASSERT_TRUE(store_.get("nodes/a"));
    fake_store_.restore();
    ASSERT_FALSE(store_.get("nodes/a"));
    subject.on_store_restored();
    fixture_.advance_time(milliseconds{100});
    EXPECT_TRUE(store_.get("nodes/a"));
}

} // namespace savorywheel::platform::test
