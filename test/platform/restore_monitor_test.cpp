#include <savorywheel/node/restore_monitor.hpp>

#include <gtest/gtest.h>
#include <platform/fake_metadata_store.hpp>
#include <platform/object_api_store.hpp>
#include <platform/rollout_order_codec.hpp>
#include <support/control_loop_fixture.hpp>
#include <support/recording_event_log.hpp>

namespace savorywheel::platform::test {

namespace {

using savorywheel::test::control_loop_fixture;
using savorywheel::test::recording_event_log;
using std::chrono::milliseconds;

/** The monitor of a node on a fake metadata store. */
class restore_monitor_test : public testing::Test {
protected:
    restore_monitor make_monitor()
    {
        return restore_monitor{{fixture_.loop(), store_, fixture_.worker(), log_, codec_,
                                node_id{"a"}, [this]() -> const member_table& { return members_; },
                                [this]() -> const operator_documents& { return documents_; },
                                [this] { ++restores_; }}};
    }

    void merge_stored_order()
    {
        const auto object = store_.get("rollouts/plugboard");
        ASSERT_TRUE(object);
        const auto decoded = codec_.decode(*object);
        ASSERT_TRUE(decoded);
        documents_.merge(decoded->order);
    }

    rollout_order write_record(move_status status)
    {
        auto order = *documents_.find_order(service_name{"plugboard"});
        order.record.emplace();
        order.record->move.to = {{order.target, weight_sum_permille}};
        order.record->move.status = status;
        order.record->weights = order.record->move.to;
        EXPECT_TRUE(store_.update(codec_.status_key(order.service),
                                  codec_.encode_status(order, status), order.revision));
        return order;
    }

    recording_event_log log_;
    fake_metadata_store fake_store_;
    object_api_store store_{fake_store_, network_endpoint{"127.0.0.1", 1}, log_};
    control_loop_fixture fixture_{store_};
    rollout_order_codec codec_;
    member_table members_;
    operator_documents documents_;
    int restores_{};
};

} // namespace

/** Guards against entries that are never written again, and writes at each start of a node. */
TEST_F(restore_monitor_test, each_change_of_era_is_reported_once)
{
    fake_store_.restore();
    auto subject = make_monitor();
    subject.start();
    fixture_.advance_time(milliseconds{2000});
    static_cast<void>(store_.get("nodes/a"));
    fixture_.advance_time(milliseconds{2000});
    EXPECT_EQ(restores_, 0);
    fake_store_.restore();
    static_cast<void>(store_.get("nodes/a"));
    fixture_.advance_time(milliseconds{2000});
    EXPECT_EQ(restores_, 1);
    EXPECT_EQ(log_.count(event_id::store_restored), 1U);
    // A node that does not call the store learns of the era from the documents of its peers.
    documents_.revision = std::uint64_t{3} << 40U;
    fixture_.advance_time(milliseconds{2000});
    EXPECT_EQ(restores_, 2);
}

/** Guards against a rollout that nodes without the kept record run again. */
TEST_F(restore_monitor_test, record_that_the_backup_lacks_is_written_again)
{
    fake_store_.put(
        "rollouts", "plugboard",
        {{"spec", {{"service", "plugboard"}, {"target-version", "v2"}, {"duration", "14s"}}}});
    merge_stored_order();
    fake_store_.back_up();
    write_record(move_status::done);
    merge_stored_order();
    auto subject = make_monitor();
    subject.start();
    fixture_.advance_time(milliseconds{1000});
    fake_store_.restore();
    merge_stored_order();
    EXPECT_EQ(documents_.orders.front().record->move.status, move_status::done);
    fixture_.advance_time(milliseconds{3000});
    EXPECT_EQ(log_.count(event_id::rollout_record_kept), 1U);
    EXPECT_EQ(log_.count(event_id::rollout_record_rewritten), 1U);
    const auto object = codec_.decode(*store_.get("rollouts/plugboard"));
    ASSERT_TRUE(object);
    ASSERT_TRUE(object->order.record);
    EXPECT_EQ(object->order.record->move.status, move_status::done);
    merge_stored_order();
    EXPECT_TRUE(documents_.unwritten_records.empty());
    const auto calls = fake_store_.calls().size();
    fixture_.advance_time(milliseconds{30'000});
    EXPECT_EQ(fake_store_.calls().size(), calls);
}

} // namespace savorywheel::platform::test
