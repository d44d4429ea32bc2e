#include <gtest/gtest.h>
#include <platform/object_api_store.hpp>
#include <platform/store_standin.hpp>

namespace savorywheel::platform::test {

namespace {

constexpr std::chrono::milliseconds no_wait{0};

class object_api_store_test : public testing::Test {
protected:
    store_standin standin_;
    object_api_store subject_{standin_, network_endpoint{"127.0.0.1", 1}};
};

} // namespace

TEST_F(object_api_store_test, gives_back_what_was_written)
{
    const auto made = subject_.create("leases/rollout/plugboard", "first");
    ASSERT_TRUE(made);
    const auto changed = subject_.update("leases/rollout/plugboard", "second", *made);
    ASSERT_TRUE(changed);
    const auto read = subject_.get("leases/rollout/plugboard");
    ASSERT_TRUE(read);
    EXPECT_EQ(read->key, "leases/rollout/plugboard");
    EXPECT_EQ(read->value, "second");
    EXPECT_EQ(read->revision, *changed);
    ASSERT_TRUE(subject_.remove("leases/rollout/plugboard", *changed));
    EXPECT_EQ(subject_.get("leases/rollout/plugboard").reason().code, failure_code::not_found);
}

TEST_F(object_api_store_test, a_write_on_an_old_revision_is_a_conflict)
{
    const auto made = subject_.create("nodes/a", "1");
    ASSERT_TRUE(made);
    ASSERT_TRUE(subject_.update("nodes/a", "2", *made));
    EXPECT_EQ(subject_.update("nodes/a", "3", *made).reason().code, failure_code::conflict);
    EXPECT_EQ(subject_.remove("nodes/a", *made).reason().code, failure_code::conflict);
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

TEST_F(object_api_store_test, a_status_leaves_the_rest_of_the_object_alone)
{
    const auto made = standin_.put("rollouts", "plugboard", {{"spec", {{"duration", "14s"}}}});
    ASSERT_TRUE(subject_.update("rollouts/plugboard/status", R"({"phase": "progressing"})", made));
    const auto read = subject_.get("rollouts/plugboard");
    ASSERT_TRUE(read);
    const auto object = json::parse(read->value);
    EXPECT_EQ(object.at("status").at("phase"), "progressing");
    EXPECT_EQ(object.at("spec").at("duration"), "14s");
}

TEST_F(object_api_store_test, a_watch_brings_what_was_written_since)
{
    const auto first = standin_.put("config", "main", {{"spec", 1}});
    const auto second = standin_.put("config", "main", {{"spec", 2}});
    standin_.put("nodes", "a", {{"spec", 3}});
    const auto seen = subject_.watch("config/", first, no_wait);
    ASSERT_TRUE(seen);
    ASSERT_EQ(seen->objects.size(), 1U);
    EXPECT_EQ(seen->objects.front().revision, second);
    EXPECT_GE(seen->revision, second);
}

TEST_F(object_api_store_test, a_watch_from_before_the_history_must_list_anew)
{
    const auto first = standin_.put("config", "main", {{"spec", 1}});
    standin_.forget_history(first + 1);
    EXPECT_EQ(subject_.watch("config/", first, no_wait).reason().code, failure_code::not_found);
}

TEST_F(object_api_store_test, tells_calls_that_were_not_done_from_those_that_may_have_been)
{
    standin_.fail_next({store_fault::refused, store_fault::too_many, store_fault::unreachable,
                        store_fault::lost_answer});
    for (int refused = 0; refused < 3; ++refused) {
        EXPECT_EQ(subject_.create("nodes/a", "1").reason().code, failure_code::unavailable);
    }
    EXPECT_EQ(subject_.create("nodes/a", "1").reason().code, failure_code::unknown_outcome);
    EXPECT_EQ(subject_.create("nodes/a", "1").reason().code, failure_code::conflict);
    EXPECT_EQ(subject_.get("nodes/a")->value, "1");
}

TEST_F(object_api_store_test, an_answer_that_cannot_be_read_is_no_empty_list)
{
    standin_.fail_next({store_fault::unreadable, store_fault::unreadable});
    EXPECT_EQ(subject_.list("nodes/", {}).reason().code, failure_code::malformed);
    EXPECT_EQ(subject_.get("nodes/a").reason().code, failure_code::malformed);
}

TEST_F(object_api_store_test, an_object_that_cannot_be_read_does_not_hide_the_others)
{
    standin_.put("nodes", "a", {{"spec", 7}});
    ASSERT_TRUE(subject_.create("nodes/b", "good"));
    const auto all = subject_.list("nodes/", {});
    ASSERT_TRUE(all);
    ASSERT_EQ(all->objects.size(), 2U);
    EXPECT_EQ(all->objects.back().value, "good");
}

} // namespace savorywheel::platform::test
