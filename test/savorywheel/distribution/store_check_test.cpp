#include <savorywheel/distribution/store_check.hpp>

#include <gtest/gtest.h>
#include <support/fixed_object_store.hpp>
#include <support/manual_clock.hpp>
#include <support/recording_event_log.hpp>
#include <support/wait_until.hpp>

#include <deque>
#include <map>
#include <mutex>

namespace savorywheel::test {

namespace {

using namespace std::chrono_literals;

/** Store whose reads fail as a test wants; advances the clock by the time of each failed read. */
class failing_store final : public object_store {
public:
    explicit failing_store(manual_clock& time) : time_{time} {}

    struct call {
        std::string prefix;
        std::optional<std::uint64_t> after;
        std::chrono::milliseconds timeout;
    };

    std::deque<failure_code> failures;
    std::vector<call> calls;
    std::map<std::string, std::uint64_t> revisions;

    outcome<object_list> read(std::string_view prefix, std::optional<std::uint64_t> after,
                              std::chrono::milliseconds timeout) override
    {
        calls.push_back({std::string{prefix}, after, timeout});
        if (!failures.empty() && failures.front() != failure_code::none) {
            time_.advance(timeout);
            const failure reason{failures.front(), "as the test wants"};
            failures.pop_front();
            return reason;
        }
        if (!failures.empty()) {
            failures.pop_front();
        }
        return object_list{
            revisions[std::string{prefix}], {{std::string{prefix}, "value", 3}}, true};
    }

    outcome<stored_object> get(std::string_view) override { return unused(); }
    outcome<std::uint64_t> create(std::string_view, std::string_view) override { return unused(); }
    outcome<std::uint64_t> update(std::string_view, std::string_view, std::uint64_t) override
    {
        return unused();
    }
    outcome<std::uint64_t> remove(std::string_view, std::uint64_t) override { return unused(); }
    outcome<object_list> list(std::string_view, std::string_view) override { return unused(); }
    outcome<object_list> watch(std::string_view, std::uint64_t, std::chrono::milliseconds) override
    {
        return unused();
    }

private:
    static failure unused() { return {failure_code::unavailable, "not used by checks"}; }

    manual_clock& time_;
};

class store_check_test : public testing::Test {
protected:
    outcome<store_check_result> check(std::optional<std::uint64_t> after)
    {
        started_ = time_.now();
        subject_.start(after);
        EXPECT_TRUE(wait_until([this] {
            const std::scoped_lock lock{mutex_};
            return result_.has_value();
        }));
        const std::scoped_lock lock{mutex_};
        return *std::exchange(result_, std::nullopt);
    }

    manual_clock time_;
    monotonic_time started_;
    failing_store store_{time_};
    recording_event_log log_;
    std::mutex mutex_;
    std::optional<outcome<store_check_result>> result_;
    std::vector<std::string> delivered_;
    store_check subject_{
        {"config/main", "rollouts/"},
        {store_, time_, log_,
         [this](std::string_view prefix, const std::vector<stored_object>& objects) {
             EXPECT_EQ(objects.size(), 1U);
             delivered_.emplace_back(prefix);
         },
         [this](const outcome<store_check_result>& result) {
             const std::scoped_lock lock{mutex_};
             result_.emplace(result);
         }}};
};

} // namespace

TEST_F(store_check_test, confirms_the_oldest_revision_of_its_reads)
{
    store_.revisions = {{"config/main", 40}, {"rollouts/", 38}};
    const auto result = check(30);
    ASSERT_TRUE(result);
    EXPECT_EQ(result->revision, 38U);
    EXPECT_EQ(result->as_of, started_);
    EXPECT_EQ(delivered_, (std::vector<std::string>{"config/main", "rollouts/"}));
    EXPECT_EQ(store_.calls.front().after, std::uint64_t{30});
}

// Issue 37: a read on a connection that had gone silent took the whole time of a call.
TEST_F(store_check_test, repeats_a_read_that_gets_no_response_in_a_short_time)
{
    store_.failures = {failure_code::timeout};
    const auto result = check(30);
    ASSERT_TRUE(result);
    EXPECT_EQ(log_.count(event_id::check_repeated), 1U);
    EXPECT_LE(store_.calls.at(0).timeout, 300ms);
    EXPECT_GT(store_.calls.at(1).timeout, store_.calls.at(0).timeout);
    EXPECT_EQ(result->as_of, started_ + 300ms);
}

TEST_F(store_check_test, fails_if_the_repetition_gets_no_response_either)
{
    store_.failures = {failure_code::timeout, failure_code::timeout};
    EXPECT_FALSE(check(30));
    EXPECT_EQ(store_.calls.size(), 2U);
    EXPECT_TRUE(delivered_.empty());
}

TEST_F(store_check_test, reads_all_objects_if_the_history_is_gone)
{
    store_.failures = {failure_code::not_found};
    EXPECT_TRUE(check(30));
    EXPECT_EQ(store_.calls.at(1).prefix, "config/main");
    EXPECT_EQ(store_.calls.at(1).after, std::nullopt);
    EXPECT_EQ(store_.calls.at(2).after, std::uint64_t{30});
}

TEST_F(store_check_test, refusal_is_not_repeated)
{
    store_.failures = {failure_code::none, failure_code::unavailable};
    EXPECT_FALSE(check(30));
    EXPECT_EQ(store_.calls.size(), 2U);
    EXPECT_EQ(delivered_, (std::vector<std::string>{"config/main"}));
}

} // namespace savorywheel::test
