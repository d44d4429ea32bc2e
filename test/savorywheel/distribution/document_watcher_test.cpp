#include <savorywheel/core/seeded_random.hpp>
#include <savorywheel/distribution/document_watcher.hpp>

#include <gtest/gtest.h>
#include <support/fixed_object_store.hpp>
#include <support/manual_clock.hpp>
#include <support/recording_event_log.hpp>
#include <support/wait_until.hpp>

#include <atomic>

namespace savorywheel::test {

namespace {

/** Store whose watches wait until they are cancelled. */
class waiting_store final : public object_store {
public:
    outcome<stored_object> get(std::string_view key) override { return inner_.get(key); }
    outcome<std::uint64_t> create(std::string_view key, std::string_view value) override
    {
        return inner_.create(key, value);
    }
    outcome<std::uint64_t> update(std::string_view key, std::string_view value,
                                  std::uint64_t expected) override
    {
        return inner_.update(key, value, expected);
    }
    outcome<std::uint64_t> remove(std::string_view key, std::uint64_t expected) override
    {
        return inner_.remove(key, expected);
    }
    outcome<object_list> list(std::string_view prefix, std::string_view after) override
    {
        ++lists;
        return inner_.list(prefix, after);
    }
    outcome<object_list> watch(std::string_view prefix, std::uint64_t after,
                               std::chrono::milliseconds max_wait) override
    {
        return inner_.watch(prefix, after, max_wait);
    }
    outcome<object_list> watch_until_cancelled(std::string_view /*prefix*/, std::uint64_t /*after*/,
                                               std::chrono::milliseconds /*max_wait*/,
                                               cancellation& cancel_signal) override
    {
        ++watches;
        ++waiting;
        static_cast<void>(wait_until([&cancel_signal] { return cancel_signal.cancelled(); }));
        --waiting;
        return failure{failure_code::timeout, "cancelled"};
    }

    std::atomic<int> lists{};
    std::atomic<int> watches{};
    std::atomic<int> waiting{};

private:
    fixed_object_store inner_{{{"config/main", "12", 12}}};
};

class document_watcher_test : public testing::Test {
protected:
    waiting_store store_;
    seeded_random random_{1};
    recording_event_log log_;
    manual_clock time_;
    std::atomic<int> failures_{};
    document_watcher watcher_{"config/main",
                              {store_, random_, log_, time_,
                               [](const std::vector<stored_object>& /*objects*/) {},
                               [this](const outcome<bool>& result) { failures_ += !result; }}};
};

} // namespace

TEST_F(document_watcher_test, reads_once_and_watches_only_while_it_is_told_to)
{
    watcher_.start();
    ASSERT_TRUE(wait_until([this] { return store_.lists == 1; }));
    watcher_.set_watching(true);
    ASSERT_TRUE(wait_until([this] { return store_.waiting == 1; }));
    watcher_.set_watching(false);
    ASSERT_TRUE(wait_until([this] { return store_.waiting == 0; }));
    EXPECT_EQ(store_.watches, 1);
    // The watch continues after the last revision, without another read of all objects.
    watcher_.set_watching(true);
    ASSERT_TRUE(wait_until([this] { return store_.waiting == 1; }));
    EXPECT_EQ(store_.lists, 1);
    watcher_.stop();
    EXPECT_EQ(failures_, 0);
}

// A watch from an old revision returns every version since then, 154 KB each.
TEST_F(document_watcher_test, lists_the_objects_after_a_long_time_without_a_watch)
{
    watcher_.set_watching(true);
    watcher_.start();
    ASSERT_TRUE(wait_until([this] { return store_.waiting == 1; }));
    watcher_.set_watching(false);
    ASSERT_TRUE(wait_until([this] { return store_.waiting == 0; }));
    // The thread reads the time before it waits.
    std::this_thread::sleep_for(std::chrono::milliseconds{50});
    time_.advance(std::chrono::minutes{1});
    watcher_.set_watching(true);
    ASSERT_TRUE(wait_until([this] { return store_.waiting == 1; }));
    EXPECT_EQ(store_.lists, 2);
    watcher_.stop();
}

TEST_F(document_watcher_test, renewal_reads_the_objects_again)
{
    watcher_.set_watching(true);
    watcher_.start();
    ASSERT_TRUE(wait_until([this] { return store_.waiting == 1; }));
    watcher_.renew();
    ASSERT_TRUE(wait_until([this] { return store_.watches == 2; }));
    EXPECT_EQ(store_.lists, 2);
    watcher_.stop();
}

} // namespace savorywheel::test
