#include <savorywheel/node/departure_store.hpp>

#include <gtest/gtest.h>
#include <platform/fake_metadata_store.hpp>
#include <platform/object_api_store.hpp>
#include <support/control_loop_fixture.hpp>
#include <support/recording_event_log.hpp>

#include <algorithm>

namespace savorywheel::platform::test {

namespace {

using savorywheel::test::control_loop_fixture;
using savorywheel::test::recording_event_log;
using std::chrono::milliseconds;

class departure_store_test : public testing::Test {
protected:
    void start(departure_store& subject)
    {
        subject.start(
            [this](std::span<const backend_departure> departures) {
                restored_.emplace(departures.begin(), departures.end());
            },
            [this] { delayed_ = true; });
    }

    departure_store make_subject()
    {
        return {node_id{"a"}, {fixture_.loop(), fixture_.worker(), log_}};
    }

    /** Reads the departures as a node that starts. */
    std::vector<backend_departure> read_after_restart()
    {
        restored_.reset();
        auto subject = make_subject();
        start(subject);
        fixture_.advance_time(milliseconds{100});
        return restored_.value_or(std::vector<backend_departure>{});
    }

    recording_event_log log_;
    fake_metadata_store fake_store_;
    object_api_store store_{fake_store_, network_endpoint{"127.0.0.1", 1}, log_};
    control_loop_fixture fixture_{store_};
    std::optional<std::vector<backend_departure>> restored_;
    bool delayed_{};
    bool written_{};
    const std::vector<backend_departure> departures_{{"i-1", 100, true}, {"i-2", 200, false}};
};

} // namespace

// Review case 5: after a kill, a node did not know which servers had left.
TEST_F(departure_store_test, departures_outlast_the_process)
{
    auto subject = make_subject();
    start(subject);
    fixture_.advance_time(milliseconds{100});
    ASSERT_TRUE(restored_);
    EXPECT_TRUE(restored_->empty());
    subject.write(departures_, [this] { written_ = true; });
    fixture_.advance_time(milliseconds{100});
    EXPECT_TRUE(written_);
    EXPECT_EQ(read_after_restart(), departures_);
}

TEST_F(departure_store_test, write_that_fails_or_loses_its_response_is_repeated)
{
    for (const auto fault : {store_fault::refused, store_fault::lost_answer,
                             store_fault::unreachable, store_fault::too_many_requests}) {
        written_ = false;
        auto subject = make_subject();
        start(subject);
        fixture_.advance_time(milliseconds{100});
        fake_store_.fail_next({fault});
        subject.write(std::span{departures_}.first(1), [this] { written_ = true; });
        fixture_.advance_time(milliseconds{2000});
        EXPECT_TRUE(written_) << static_cast<int>(fault);
        EXPECT_EQ(read_after_restart().size(), 1U);
        subject.write(departures_, [] {});
        fixture_.advance_time(milliseconds{100});
    }
}

TEST_F(departure_store_test, departure_before_the_read_has_succeeded_is_written_after_it)
{
    fake_store_.fail_next(std::vector<store_fault>(3, store_fault::refused));
    auto subject = make_subject();
    start(subject);
    subject.write(departures_, [this] { written_ = true; });
    fixture_.advance_time(milliseconds{4000});
    EXPECT_TRUE(delayed_);
    EXPECT_TRUE(restored_.has_value());
    EXPECT_TRUE(written_);
    EXPECT_EQ(read_after_restart(), departures_);
}

TEST_F(departure_store_test, object_of_another_writer_is_replaced)
{
    fake_store_.put("departures", "a", {{"spec", "no departures"}});
    EXPECT_TRUE(read_after_restart().empty());
    ASSERT_TRUE(restored_);
    auto subject = make_subject();
    start(subject);
    fixture_.advance_time(milliseconds{100});
    subject.write(departures_, [this] { written_ = true; });
    fixture_.advance_time(milliseconds{100});
    EXPECT_TRUE(written_);
    EXPECT_EQ(read_after_restart(), departures_);
}

TEST_F(departure_store_test, known_departures_are_not_written_again)
{
    auto subject = make_subject();
    start(subject);
    fixture_.advance_time(milliseconds{100});
    subject.write(departures_, [] {});
    fixture_.advance_time(milliseconds{100});
    const auto calls = fake_store_.calls().size();
    subject.write(departures_, [this] { written_ = true; });
    EXPECT_TRUE(written_);
    fixture_.advance_time(milliseconds{100});
    EXPECT_EQ(fake_store_.calls().size(), calls);
}

/** Guards against departures that are unknown after a restore and a restart of the node. */
TEST_F(departure_store_test, departures_are_written_again_after_a_restore)
{
    for (const bool has_backup : {false, true}) {
        auto subject = make_subject();
        start(subject);
        fixture_.advance_time(milliseconds{100});
        if (has_backup) {
            subject.write(std::vector{departures_.front()}, [] {});
            fixture_.advance_time(milliseconds{100});
        }
        fake_store_.back_up();
        subject.write(departures_, [this] { written_ = true; });
        fixture_.advance_time(milliseconds{100});
        ASSERT_TRUE(written_);
        fake_store_.restore();
        ASSERT_NE(read_after_restart(), departures_);
        subject.on_store_restored();
        fixture_.advance_time(milliseconds{100});
        EXPECT_EQ(read_after_restart(), departures_);
        const auto known = store_.get("departures/a");
        ASSERT_TRUE(known);
        ASSERT_TRUE(store_.remove("departures/a", known->revision));
    }
}

} // namespace savorywheel::platform::test
