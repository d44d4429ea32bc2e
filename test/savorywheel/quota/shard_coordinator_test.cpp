#include <savorywheel/core/seeded_random.hpp>
#include <savorywheel/encoding/codec.hpp>
#include <savorywheel/quota/shard_coordinator.hpp>
#include <savorywheel/store/store_worker.hpp>

#include <gtest/gtest.h>
#include <standin/platform/in_memory_object_store.hpp>
#include <support/recording_event_log.hpp>

#include <atomic>
#include <future>

namespace savorywheel::test {

namespace {

using namespace std::chrono_literals;

/** Clock whose monotonic time stands still while the VM is suspended. */
class suspendable_clock final : public clock {
public:
    [[nodiscard]] monotonic_time now() const noexcept override { return monotonic_time{running}; }
    [[nodiscard]] duration since_boot() const noexcept override
    {
        return running.load() + suspended.load();
    }
    [[nodiscard]] calendar_time calendar_now() const noexcept override { return {}; }

    std::atomic<duration> running{duration{1h}};
    std::atomic<duration> suspended{duration{}};
};

class shard_coordinator_test : public testing::Test {
protected:
    static lease_record record_of(const char* name)
    {
        lease_record self;
        self.holder = node_id{name};
        self.peer = {name, 7000};
        return self;
    }

    void TearDown() override { worker_.stop(); }

    void advance(duration length)
    {
        for (auto elapsed = 0ms; elapsed < length; elapsed += 50ms) {
            time_.running = time_.running.load() + 50ms;
            loop_.run_pending();
            for (int call = 0; call < 2; ++call) {
                std::promise<void> done;
                worker_.submit([&done](object_store& /*store*/) { done.set_value(); });
                done.get_future().wait();
                loop_.run_pending();
            }
        }
    }

    quota_grant request(shard_coordinator& coordinator)
    {
        quota_request message;
        message.session = 5;
        message.sequence = ++sequence_;
        message.items.push_back({7, 10, 0, 0, 0});
        return *coordinator.answer(message, limits_);
    }

    suspendable_clock time_;
    control_loop loop_{time_};
    standin::in_memory_object_store store_;
    store_worker worker_{store_};
    seeded_random random_{1};
    recording_event_log log_;
    tenant_limits limits_{{}, std::vector<tenant_entry>{{tenant_name{"t"}, 7, 0, 1, 40.0, 40.0}}};
    std::uint64_t sequence_{};
    shard_coordinator first_{0, record_of("a"), {{loop_, worker_, random_}, log_}};
    shard_coordinator second_{0, record_of("b"), {{loop_, worker_, random_}, log_}};
};

} // namespace

TEST_F(shard_coordinator_test, holder_grants_and_others_name_it)
{
    first_.compete(true);
    advance(2s);
    second_.compete(true);
    advance(2s);
    EXPECT_TRUE(first_.coordinates());
    EXPECT_FALSE(second_.coordinates());
    EXPECT_EQ(request(first_).items.front().tokens, 10U);
    const auto answer = request(second_);
    EXPECT_EQ(answer.ledger, 0U);
    EXPECT_EQ(answer.coordinator, record_of("a").peer);
}

// The monotonic clock stands still while the VM is suspended; another node may coordinate by then.
TEST_F(shard_coordinator_test, grants_nothing_after_a_suspension_before_its_lease_is_renewed)
{
    first_.compete(true);
    advance(5s);
    EXPECT_EQ(request(first_).items.front().tokens, 10U);
    time_.suspended = time_.suspended.load() + 10s;
    EXPECT_EQ(request(first_).ledger, 0U);
    advance(2s);
    EXPECT_EQ(request(first_).ledger, 0U);
    advance(5s);
    EXPECT_NE(request(first_).ledger, 0U);
}

TEST_F(shard_coordinator_test, successor_of_a_settled_coordinator_grants_at_once)
{
    first_.compete(true);
    second_.compete(true);
    advance(6s);
    auto& holder = first_.coordinates() ? first_ : second_;
    auto& successor = first_.coordinates() ? second_ : first_;
    holder.maintain();
    advance(1s);
    holder.stop();
    advance(1500ms);
    EXPECT_GT(request(successor).items.front().tokens, 0U);
}

// A crash soon after a change would otherwise stop all requests of a shard for 4 s more.
TEST_F(shard_coordinator_test, successor_after_an_expired_lease_waits_for_the_rest_of_one_lifetime)
{
    auto crashed = record_of("c");
    crashed.term = 1;
    crashed.lifetime = 2500ms;
    ASSERT_TRUE(store_.create("leases/quota-0", encode_json(crashed)));
    first_.compete(true);
    while (!first_.coordinates()) {
        ASSERT_LT(time_.running.load(), duration{1h} + 6s);
        advance(50ms);
    }
    EXPECT_EQ(request(first_).items.front().state, quota_grant_state::unknown);
    advance(1400ms);
    EXPECT_EQ(request(first_).items.front().state, quota_grant_state::unknown);
    advance(400ms);
    EXPECT_GT(request(first_).items.front().tokens, 0U);
}

TEST_F(shard_coordinator_test, successor_of_an_unsettled_coordinator_waits_for_one_lifetime)
{
    first_.compete(true);
    second_.compete(true);
    advance(2s);
    auto& holder = first_.coordinates() ? first_ : second_;
    auto& successor = first_.coordinates() ? second_ : first_;
    holder.stop();
    advance(1500ms);
    ASSERT_TRUE(successor.coordinates());
    EXPECT_EQ(request(successor).items.front().state, quota_grant_state::unknown);
    advance(4s);
    EXPECT_GT(request(successor).items.front().tokens, 0U);
}

} // namespace savorywheel::test
