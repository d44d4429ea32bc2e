#include <savorywheel/distribution/lease_keeper.hpp>

#include <gtest/gtest.h>
#include <standin/platform/object_table.hpp>
#include <support/control_world.hpp>

namespace savorywheel::test {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds lifetime{2000};

/** Lease managers of two nodes on one store; only pass() advances the clock. */
class two_keepers : public testing::Test {
protected:
    lease_keeper make_keeper(const std::string& name)
    {
        lease_record self;
        self.holder = node_id{name};
        self.lifetime = lifetime;
        return {"leases/test", self,
                lease_keeper::environment{world_.loop(), world_.worker(), world_.random()},
                [](bool /*held*/) {}};
    }

    standin::object_table store_;
    control_world world_{store_};
};

} // namespace

TEST_F(two_keepers, a_released_lease_is_taken_before_it_would_lapse)
{
    auto first = make_keeper("a");
    auto second = make_keeper("b");
    first.start();
    world_.pass(milliseconds{500});
    ASSERT_TRUE(first.held());
    second.start();
    world_.pass(milliseconds{1000});
    ASSERT_FALSE(second.held());
    first.stop();
    EXPECT_FALSE(first.held());
    world_.pass(lifetime / 2);
    EXPECT_TRUE(second.held());
}

TEST_F(two_keepers, the_next_holder_reads_what_the_last_one_left)
{
    auto first = make_keeper("a");
    auto second = make_keeper("b");
    first.set_note("seen so far");
    first.start();
    world_.pass(milliseconds{1500});
    ASSERT_TRUE(first.held());
    first.stop();
    second.start();
    world_.pass(lifetime);
    ASSERT_TRUE(second.held());
    ASSERT_TRUE(second.predecessor());
    EXPECT_EQ(second.predecessor()->note, "seen so far");
}

} // namespace savorywheel::test
