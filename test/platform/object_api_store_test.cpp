#include <gtest/gtest.h>
#include <platform/fake_metadata_store.hpp>
#include <platform/object_api_store.hpp>
#include <support/recording_event_log.hpp>

namespace savorywheel::platform::test {

namespace {

constexpr std::chrono::milliseconds no_wait{0};

class object_api_store_test : public testing::Test {
protected:
    fake_metadata_store fake_store_;
    savorywheel::test::recording_event_log log_;
    object_api_store subject_{fake_store_, network_endpoint{"127.0.0.1", 1}, log_};
};

} // namespace

TEST_F(object_api_store_test, returns_written_values)
{
    const auto created = subject_.create("leases/rollout/plugboard", "first");
    ASSERT_TRUE(created);
    const auto updated = subject_.update("leases/rollout/plugboard", "second", *created);
    ASSERT_TRUE(updated);
    const auto read = subject_.get("leases/rollout/plugboard");
    ASSERT_TRUE(read);
    EXPECT_EQ(read->key, "leases/rollout/plugboard");
    EXPECT_EQ(read->value, "second");
    EXPECT_EQ(read->revision, *updated);
    ASSERT_TRUE(subject_.remove("leases/rollout/plugboard", *updated));
    EXPECT_EQ(subject_.get("leases/rollout/plugboard").reason().code, failure_code::not_found);
}

TEST_F(object_api_store_test, write_with_stale_revision_is_a_conflict)
{
    const auto created = subject_.create("nodes/a", "1");
    ASSERT_TRUE(created);
    ASSERT_TRUE(subject_.update("nodes/a", "2", *created));
    EXPECT_EQ(subject_.update("nodes/a", "3", *created).reason().code, failure_code::conflict);
    EXPECT_EQ(subject_.remove("nodes/a", *created).reason().code, failure_code::conflict);
    EXPECT_EQ(subject_.create("nodes/a", "4").reason().code, failure_code::conflict);
    EXPECT_EQ(subject_.get("nodes/a")->value, "2");
}

TEST_F(object_api_store_test, lists_all_pages)
{
    for (const auto* name : {"nodes/a", "nodes/b", "nodes/c", "nodes/d", "nodes/e"}) {
        ASSERT_TRUE(subject_.create(name, name));
    }
    ASSERT_TRUE(subject_.create("leases/x", "x"));
    const auto all = subject_.list("nodes/", {});
    ASSERT_TRUE(all);
    EXPECT_TRUE(all->complete);
    ASSERT_EQ(all->objects.size(), 5U);
    EXPECT_EQ(all->objects.front().key, "nodes/a");
    EXPECT_EQ(all->objects.back().value, "nodes/e");
}

TEST_F(object_api_store_test, change_between_two_pages_is_watched)
{
    for (const auto* name : {"a", "b", "c", "d", "e"}) {
        fake_store_.put("rollouts", name, json::object());
    }
    fake_store_.before_call(2, [this] { fake_store_.put("rollouts", "a", json::object()); });
    const auto all = subject_.list("rollouts/", {});
    ASSERT_TRUE(all);
    ASSERT_EQ(all->objects.size(), 5U);
    const auto changed = subject_.get("rollouts/a");
    ASSERT_TRUE(changed);
    ASSERT_LT(all->objects.front().revision, changed->revision);
    const auto later = subject_.watch("rollouts/", all->revision, no_wait);
    ASSERT_TRUE(later);
    ASSERT_EQ(later->objects.size(), 1U);
    EXPECT_EQ(later->objects.front().revision, changed->revision);
}

TEST_F(object_api_store_test, status_update_preserves_the_spec)
{
    const auto created =
        fake_store_.put("rollouts", "plugboard", {{"spec", {{"duration", "14s"}}}});
    ASSERT_TRUE(
        subject_.update("rollouts/plugboard/status", R"({"phase": "progressing"})", created));
    const auto read = subject_.get("rollouts/plugboard");
    ASSERT_TRUE(read);
    const auto object = json::parse(read->value);
    EXPECT_EQ(object.at("status").at("phase"), "progressing");
    EXPECT_EQ(object.at("spec").at("duration"), "14s");
}

TEST_F(object_api_store_test, watch_returns_objects_written_after_the_revision)
{
    const auto first = fake_store_.put("config", "main", {{"spec", 1}});
    const auto second = fake_store_.put("config", "main", {{"spec", 2}});
    fake_store_.put("nodes", "a", {{"spec", 3}});
    const auto changes = subject_.watch("config/", first, no_wait);
    ASSERT_TRUE(changes);
    ASSERT_EQ(changes->objects.size(), 1U);
    EXPECT_EQ(changes->objects.front().revision, second);
    EXPECT_GE(changes->revision, second);
}

TEST_F(object_api_store_test, watch_from_a_truncated_revision_returns_not_found)
{
    const auto first = fake_store_.put("config", "main", {{"spec", 1}});
    fake_store_.truncate_history(first + 1);
    EXPECT_EQ(subject_.watch("config/", first, no_wait).reason().code, failure_code::not_found);
}

TEST_F(object_api_store_test, distinguishes_failed_calls_from_unknown_outcomes)
{
    fake_store_.fail_next({store_fault::refused, store_fault::too_many_requests,
                           store_fault::unreachable, store_fault::lost_answer});
    for (int refused = 0; refused < 3; ++refused) {
        EXPECT_EQ(subject_.create("nodes/a", "1").reason().code, failure_code::unavailable);
    }
    EXPECT_EQ(subject_.create("nodes/a", "1").reason().code, failure_code::unknown_outcome);
    EXPECT_EQ(subject_.create("nodes/a", "1").reason().code, failure_code::conflict);
    EXPECT_EQ(subject_.get("nodes/a")->value, "1");
}

TEST_F(object_api_store_test, malformed_response_is_not_an_empty_list)
{
    fake_store_.fail_next({store_fault::invalid_json, store_fault::invalid_json});
    EXPECT_EQ(subject_.list("nodes/", {}).reason().code, failure_code::malformed);
    EXPECT_EQ(subject_.get("nodes/a").reason().code, failure_code::malformed);
}

TEST_F(object_api_store_test, object_without_text_spec_does_not_hide_others)
{
    fake_store_.put("nodes", "a", {{"spec", 7}});
    ASSERT_TRUE(subject_.create("nodes/b", "good"));
    const auto all = subject_.list("nodes/", {});
    ASSERT_TRUE(all);
    ASSERT_EQ(all->objects.size(), 2U);
    EXPECT_EQ(all->objects.back().value, "good");
}

/** Guards against revisions that go back, by which nodes would take the newest objects for old. */
TEST_F(object_api_store_test, revisions_grow_across_a_restore)
{
    fake_store_.put("config", "main", {{"spec", 1}});
    fake_store_.back_up();
    fake_store_.put("config", "main", {{"spec", 2}});
    const auto before = subject_.get("config/main");
    ASSERT_TRUE(before);
    EXPECT_EQ(before->revision, 2U);
    EXPECT_EQ(subject_.era(), 0U);
    fake_store_.restore();
    const auto after = subject_.get("config/main");
    ASSERT_TRUE(after);
    EXPECT_EQ(subject_.era(), 1U);
    EXPECT_EQ(after->revision, (std::uint64_t{1} << 40U) + 1);
    const auto listed = subject_.list("config/", {});
    ASSERT_TRUE(listed);
    EXPECT_EQ(listed->revision, (std::uint64_t{1} << 40U) + 1);
    const auto created = subject_.create("nodes/a", "1");
    ASSERT_TRUE(created);
    const auto updated = subject_.update("nodes/a", "2", *created);
    ASSERT_TRUE(updated);
    EXPECT_EQ(*updated, (std::uint64_t{1} << 40U) + 3);
    const auto watched = subject_.watch("nodes/", *created, no_wait);
    ASSERT_TRUE(watched);
    EXPECT_EQ(watched->revision, *updated);
    EXPECT_TRUE(subject_.remove("nodes/a", *updated));
}

/** Guards against a write that replaces another object under a revision that was used again. */
TEST_F(object_api_store_test, revision_of_an_ended_era_is_answered_without_a_call)
{
    fake_store_.back_up();
    const auto created = subject_.create("nodes/a", "1");
    ASSERT_TRUE(created);
    fake_store_.restore();
    const auto other = fake_store_.put("nodes", "a", {{"spec", "other"}});
    ASSERT_EQ(other, *created);
    ASSERT_TRUE(subject_.list("nodes/", {}));
    const auto calls = fake_store_.calls().size();
    EXPECT_EQ(subject_.update("nodes/a", "2", *created).reason().code, failure_code::conflict);
    EXPECT_EQ(subject_.update("nodes/a/status", "{}", *created).reason().code,
              failure_code::conflict);
    EXPECT_EQ(subject_.remove("nodes/a", *created).reason().code, failure_code::conflict);
    EXPECT_EQ(subject_.watch("nodes/", *created, no_wait).reason().code, failure_code::not_found);
    EXPECT_EQ(subject_.read("nodes/", *created, std::chrono::seconds{1}).reason().code,
              failure_code::not_found);
    EXPECT_EQ(fake_store_.calls().size(), calls);
    EXPECT_EQ(subject_.get("nodes/a")->value, "other");
}

/** Guards against changes that a watch skips, as its revision was used again before the call. */
TEST_F(object_api_store_test, first_call_after_a_restore_is_not_taken_for_an_answer_of_its_era)
{
    fake_store_.back_up();
    const auto created = subject_.create("nodes/a", "1");
    ASSERT_TRUE(created);
    fake_store_.restore();
    fake_store_.put("nodes", "a", {{"spec", "other"}});
    EXPECT_EQ(subject_.watch("nodes/", *created, no_wait).reason().code, failure_code::not_found);
    fake_store_.back_up();
    const auto read = subject_.get("nodes/a");
    ASSERT_TRUE(read);
    fake_store_.restore();
    EXPECT_EQ(subject_.update("nodes/a", "2", read->revision).reason().code,
              failure_code::unknown_outcome);
}

/** Guards against an order of the eras by the arrival of delayed responses. */
TEST(store_era, latest_era_is_never_lowered)
{
    store_era subject;
    EXPECT_FALSE(subject.latest());
    EXPECT_FALSE(subject.has_ended(7));
    EXPECT_EQ(subject.observe("2"), 2U);
    EXPECT_EQ(subject.observe("1"), 1U);
    EXPECT_EQ(subject.observe(""), 0U);
    EXPECT_EQ(subject.observe("-1"), 0U);
    EXPECT_EQ(subject.observe("99999999999999999999"), 0U);
    EXPECT_EQ(subject.latest(), 2U);
    EXPECT_TRUE(subject.has_ended(store_revision{1, 7}.composed()));
    EXPECT_FALSE(subject.has_ended(store_revision{2, 0}.composed()));
}

} // namespace savorywheel::platform::test
