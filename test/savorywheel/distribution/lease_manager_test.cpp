#include <savorywheel/distribution/lease_manager.hpp>
#include <savorywheel/encoding/codec.hpp>

#include <gtest/gtest.h>
#include <standin/platform/in_memory_object_store.hpp>
#include <support/control_loop_fixture.hpp>

#include <limits>
#include <utility>
#include <vector>

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

TEST_F(lease_manager_pair, lease_of_another_writer_does_not_block_the_nodes)
{
    lease_record odd;
    odd.holder = node_id{"odd"};
    const auto unbounded = std::chrono::milliseconds::max();
    for (const auto& [term, odd_lifetime] : std::vector<std::pair<std::uint64_t, milliseconds>>{
             {1, std::chrono::hours{24}},
             {1, unbounded},
             {1, milliseconds{-1}},
             {std::numeric_limits<std::uint64_t>::max(), lifetime}}) {
        odd.term = term;
        odd.lifetime = odd_lifetime;
        const auto known = store_.get("leases/test");
        ASSERT_TRUE(known ? store_.update("leases/test", encode_json(odd), known->revision)
                          : store_.create("leases/test", encode_json(odd)));
        auto subject = make_manager("a");
        subject.start();
        fixture_.advance_time(2 * lifetime);
        EXPECT_TRUE(subject.held()) << term << ' ' << odd_lifetime.count();
        subject.stop();
        fixture_.finish_store_calls();
    }
}

TEST_F(lease_manager_pair, term_grows_after_the_lease_was_overwritten)
{
    auto subject = make_manager("a");
    subject.start();
    fixture_.advance_time(lifetime);
    ASSERT_TRUE(subject.held());
    const auto term = subject.observed()->term;
    const auto known = store_.get("leases/test");
    ASSERT_TRUE(store_.update("leases/test", "[[[[", known->revision));
    fixture_.advance_time(lifetime / 2);
    ASSERT_TRUE(subject.held());
    EXPECT_GT(subject.observed()->term, term);
    subject.stop();
    fixture_.finish_store_calls();
}

/** Guards against a second holder of a lease that a restored store has lost. */
TEST_F(lease_manager_pair, nobody_acquires_a_lease_for_a_lifetime_after_a_restore)
{
    store_.back_up();
    auto first = make_manager("a");
    first.start();
    fixture_.advance_time(lifetime);
    ASSERT_TRUE(first.held());
    auto second = make_manager("b");
    second.start();
    fixture_.advance_time(lifetime / 2);
    ASSERT_FALSE(second.held());
    store_.restore();
    int held = 0;
    for (milliseconds passed{}; passed < lifetime; passed += milliseconds{50}) {
        fixture_.advance_time(milliseconds{50});
        EXPECT_FALSE(second.held()) << passed.count();
        held += first.held() ? 1 : 0;
        EXPECT_FALSE(first.held() && second.held());
    }
    // The holder keeps the lease to its end, as others wait for longer.
    EXPECT_GT(held, 0);
    fixture_.advance_time(lifetime);
    EXPECT_NE(first.held(), second.held());
    first.stop();
    second.stop();
    fixture_.finish_store_calls();
}

/** Guards against a holder that the backup shows as released while it is active. */
TEST_F(lease_manager_pair, released_lease_in_a_backup_is_not_acquired_at_once)
{
    auto first = make_manager("a");
    first.start();
    fixture_.advance_time(milliseconds{500});
    first.stop();
    fixture_.finish_store_calls();
    store_.back_up();
    auto second = make_manager("b");
    second.start();
    fixture_.advance_time(lifetime);
    ASSERT_TRUE(second.held());
    auto third = make_manager("c");
    third.start();
    fixture_.advance_time(lifetime / 2);
    store_.restore();
    for (milliseconds passed{}; passed < lifetime; passed += milliseconds{50}) {
        fixture_.advance_time(milliseconds{50});
        EXPECT_FALSE(third.held()) << passed.count();
    }
    second.stop();
    third.stop();
    fixture_.finish_store_calls();
}

/** Guards against a node that starts just after a restore and knows nothing of the holder. */
TEST_F(lease_manager_pair, exclusive_lease_is_not_acquired_for_a_lifetime_after_a_start)
{
    for (const bool exists : {false, true}) {
        if (exists) {
            lease_record released;
            released.holder = node_id{"old"};
            released.term = 1000;
            const auto known = store_.get("leases/test");
            ASSERT_TRUE(known);
            ASSERT_TRUE(store_.update("leases/test", encode_json(released), known->revision));
        }
        lease_record self;
        self.holder = node_id{"a"};
        self.lifetime = lifetime;
        lease_manager subject{
            "leases/test", self,
            lease_manager::environment{fixture_.loop(), fixture_.worker(), fixture_.random(), true},
            [](bool /*held*/) {}};
        subject.start();
        for (milliseconds passed{}; passed < lifetime; passed += milliseconds{50}) {
            fixture_.advance_time(milliseconds{50});
            EXPECT_FALSE(subject.held()) << passed.count();
        }
        fixture_.advance_time(lifetime);
        EXPECT_TRUE(subject.held());
        subject.stop();
        fixture_.finish_store_calls();
    }
}

// Otherwise a restart of all nodes leaves a lease without a holder for its lifetime.
TEST_F(lease_manager_pair, exclusive_lease_of_an_earlier_process_of_this_node_is_acquired_at_once)
{
    lease_record earlier;
    earlier.holder = node_id{"a"};
    earlier.term = 5;
    earlier.lifetime = lifetime;
    ASSERT_TRUE(store_.create("leases/test", encode_json(earlier)));
    lease_record self;
    self.holder = node_id{"a"};
    self.lifetime = lifetime;
    lease_manager subject{
        "leases/test", self,
        lease_manager::environment{fixture_.loop(), fixture_.worker(), fixture_.random(), true},
        [](bool /*held*/) {}};
    subject.start();
    fixture_.advance_time(lifetime / 4);
    EXPECT_TRUE(subject.held());
    subject.stop();
    fixture_.finish_store_calls();
}

} // namespace savorywheel::test
