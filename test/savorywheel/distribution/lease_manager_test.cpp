#include <savorywheel/distribution/lease_manager.hpp>

#include <gtest/gtest.h>
#include <standin/platform/in_memory_object_store.hpp>
#include <support/control_loop_fixture.hpp>

namespace savorywheel::test {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds lifetime{2000};

/** Lease managers of two nodes on one store; only pass() advances the clock. */
class lease_manager_pair : public testing::Test {
protected:
    lease_manager make_manager(const std::string& name)
    {
        lease_record self;
        self.holder = node_id{name};
        self.lifetime = lifetime;
        return {"leases/test", self,
                lease_manager::environment{fixture_.loop(), fixture_.worker(), fixture_.random()},
                [](bool /*held*/) {}};
    }

    standin::in_memory_object_store store_;
    control_loop_fixture fixture_{store_};
};

} // namespace

TEST_F(lease_manager_pair, released_lease_is_acquired_before_it_expires)
{
    auto first = make_manager("a");
    auto second = make_manager("b");
    first.start();
    fixture_.advance_time(milliseconds{500});
    ASSERT_TRUE(first.held());
    second.start();
    fixture_.advance_time(milliseconds{1000});
    ASSERT_FALSE(second.held());
    first.stop();
    EXPECT_FALSE(first.held());
    fixture_.advance_time(lifetime / 2);
    EXPECT_TRUE(second.held());
}

TEST_F(lease_manager_pair, next_holder_reads_the_note_of_its_predecessor)
{
    auto first = make_manager("a");
    auto second = make_manager("b");
    first.set_note("seen so far");
    first.start();
    fixture_.advance_time(milliseconds{1500});
    ASSERT_TRUE(first.held());
    first.stop();
    second.start();
    fixture_.advance_time(lifetime);
    ASSERT_TRUE(second.held());
    ASSERT_TRUE(second.predecessor());
    EXPECT_EQ(second.predecessor()->note, "seen so far");
}

} // namespace savorywheel::test
