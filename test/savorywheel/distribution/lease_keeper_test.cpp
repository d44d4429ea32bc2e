#include <savorywheel/core/seeded_random.hpp>
#include <savorywheel/distribution/lease_keeper.hpp>

#include <gtest/gtest.h>
#include <standin/platform/object_table.hpp>
#include <support/manual_clock.hpp>

#include <future>

namespace savorywheel::test {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds lifetime{2000};

/** Keepers of two nodes on one store; time passes only by pass(). */
class two_keepers : public testing::Test {
protected:
    lease_keeper make_keeper(const std::string& name)
    {
        lease_record self;
        self.holder = node_id{name};
        self.lifetime = lifetime;
        return {"leases/test", self, lease_keeper::environment{loop_, worker_, random_},
                [](bool /*held*/) {}};
    }

    void pass(milliseconds length)
    {
        constexpr milliseconds step{50};
        for (milliseconds passed{}; passed < length; passed += step) {
            time_.advance(step);
            loop_.run_pending();
            finish_store_calls();
            loop_.run_pending();
            finish_store_calls();
            loop_.run_pending();
        }
    }

    /** The worker runs its jobs in order, so those before this one have ended. */
    void finish_store_calls()
    {
        std::promise<void> done;
        worker_.submit([&done](object_store& /*store*/) { done.set_value(); });
        done.get_future().wait();
    }

    manual_clock time_;
    control_loop loop_{time_};
    seeded_random random_{1};
    standin::object_table store_;
    store_worker worker_{store_};
};

} // namespace

TEST_F(two_keepers, a_released_lease_is_taken_before_it_would_lapse)
{
    auto first = make_keeper("a");
    auto second = make_keeper("b");
    first.start();
    pass(milliseconds{500});
    ASSERT_TRUE(first.held());
    second.start();
    pass(milliseconds{1000});
    ASSERT_FALSE(second.held());
    first.stop();
    EXPECT_FALSE(first.held());
    pass(lifetime / 2);
    EXPECT_TRUE(second.held());
}

TEST_F(two_keepers, the_next_holder_reads_what_the_last_one_left)
{
    auto first = make_keeper("a");
    auto second = make_keeper("b");
    first.set_note("seen so far");
    first.start();
    pass(milliseconds{1500});
    ASSERT_TRUE(first.held());
    first.stop();
    second.start();
    pass(lifetime);
    ASSERT_TRUE(second.held());
    ASSERT_TRUE(second.predecessor());
    EXPECT_EQ(second.predecessor()->note, "seen so far");
}

} // namespace savorywheel::test
