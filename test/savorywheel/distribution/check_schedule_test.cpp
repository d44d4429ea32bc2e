#include <savorywheel/core/seeded_random.hpp>
#include <savorywheel/distribution/check_schedule.hpp>

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <deque>
#include <vector>

namespace savorywheel::test {

namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

node_id make_id(std::size_t index)
{
    return node_id{fmt::format("n{:05}", index)};
}

/** Schedules of a mesh in simulated time; a check takes some time, and so does its confirmation. */
class simulated_mesh {
public:
    explicit simulated_mesh(std::size_t nodes) : dead(nodes), unreachable(nodes)
    {
        for (std::size_t i = 0; i < nodes; ++i) {
            ids_.push_back(make_id(i));
            schedules_.emplace_back(ids_.back(), random_, now_);
            checking_.push_back(false);
        }
    }

    /** Runs for a time; returns the maximum age of a live node's confirmation without a check. */
    milliseconds run_for(milliseconds length)
    {
        constexpr milliseconds step{5};
        milliseconds oldest{};
        for (const auto end = now_ + length; now_ < end; now_ += step) {
            deliver();
            for (std::size_t i = 0; i < ids_.size(); ++i) {
                if (dead[i]) {
                    continue;
                }
                if (!checking_[i] && schedules_[i].next_check(ids_) <= now_) {
                    checking_[i] = true;
                    ++checks;
                    pending_.push_back({now_ + check_time, i, now_});
                }
                if (!checking_[i]) {
                    oldest = std::max(oldest, std::chrono::duration_cast<milliseconds>(
                                                  now_ - schedules_[i].confirmed_as_of()));
                }
            }
        }
        return oldest;
    }

    /** Nodes that neither check nor receive; the others still count them as candidates. */
    std::vector<bool> dead;
    /** Nodes that do not receive the confirmations of others. */
    std::vector<bool> unreachable;
    milliseconds check_time{80};
    milliseconds spread_time{100};
    std::size_t checks{};

private:
    struct check_in_progress {
        monotonic_time done;
        std::size_t node{};
        monotonic_time as_of;
        bool spread{};
    };

    void deliver()
    {
        for (std::size_t k = 0; k < pending_.size(); ++k) {
            if (pending_[k].done > now_) {
                continue;
            }
            const auto item = pending_[k];
            pending_.erase(pending_.begin() + static_cast<std::ptrdiff_t>(k--));
            if (!item.spread) {
                checking_[item.node] = false;
                schedules_[item.node].record(ids_[item.node], item.as_of);
                pending_.push_back({now_ + spread_time, item.node, item.as_of, true});
                continue;
            }
            for (std::size_t i = 0; i < ids_.size(); ++i) {
                if (!unreachable[i]) {
                    schedules_[i].record(ids_[item.node], item.as_of);
                }
            }
        }
    }

    seeded_random random_{7};
    monotonic_time now_{1h};
    std::vector<node_id> ids_;
    std::deque<check_schedule> schedules_;
    std::vector<bool> checking_;
    std::vector<check_in_progress> pending_;
};

} // namespace

// Issue 37: the time until a node heard of a change grew with the number of nodes.
RC_GTEST_PROP(check_schedule, no_node_has_an_old_confirmation_without_a_check, ())
{
    simulated_mesh mesh{*rc::gen::inRange<std::size_t>(1, 60)};
    for (std::size_t i = 0; i < mesh.dead.size(); ++i) {
        mesh.dead[i] = *rc::gen::weightedElement<bool>({{2, false}, {1, true}});
        mesh.unreachable[i] = *rc::gen::weightedElement<bool>({{4, false}, {1, true}});
    }
    RC_ASSERT(mesh.run_for(20s) <= max_confirmation_age + 5ms);
}

RC_GTEST_PROP(check_schedule, one_node_checks_per_period_whatever_the_number_of_nodes, ())
{
    simulated_mesh mesh{*rc::gen::inRange<std::size_t>(4, 300)};
    mesh.run_for(2s);
    mesh.checks = 0;
    mesh.run_for(20s);
    RC_ASSERT(mesh.checks >= 20);
    RC_ASSERT(mesh.checks <= 27);
}

TEST(check_schedule, dead_successors_cost_few_checks)
{
    simulated_mesh mesh{100};
    for (std::size_t i = 0; i < mesh.dead.size(); i += 2) {
        mesh.dead[i] = true;
    }
    mesh.run_for(2s);
    mesh.checks = 0;
    mesh.run_for(20s);
    EXPECT_LE(mesh.checks, 27U);
}

TEST(check_schedule, ring_continues_after_an_origin_that_has_left)
{
    seeded_random random{1};
    const monotonic_time now{1h};
    const std::vector candidates{make_id(1), make_id(3), make_id(5), make_id(7), make_id(9)};
    check_schedule first{make_id(3), random, now};
    check_schedule last{make_id(1), random, now};
    first.record(make_id(2), now + 1ms);
    last.record(make_id(2), now + 1ms);
    EXPECT_EQ(first.next_check(candidates), now + 801ms);
    EXPECT_GT(last.next_check(candidates), now + 1s);
}

TEST(check_schedule, failed_checks_are_repeated_with_growing_delays)
{
    seeded_random random{1};
    monotonic_time now{1h};
    const std::vector candidates{make_id(1)};
    check_schedule subject{make_id(1), random, now};
    now += 10s;
    for (int i = 0; i < 10; ++i) {
        subject.record_failure(now);
        const auto next = subject.next_check(candidates);
        EXPECT_GE(next, now + 125ms);
        EXPECT_LE(next, now + 2s);
        now = next;
    }
    EXPECT_GE(now, monotonic_time{1h} + 17s);
    subject.record(make_id(1), now);
    subject.record_failure(now);
    EXPECT_LE(subject.next_check(candidates), now + 800ms);
}

TEST(check_schedule,
     node_that_failed_to_reach_the_store_checks_again_beside_confirmations_of_others)
{
    seeded_random random{1};
    const monotonic_time now{1h};
    const std::vector candidates{make_id(1), make_id(2), make_id(3)};
    check_schedule subject{make_id(1), random, now};
    subject.record_failure(now);
    subject.record(make_id(2), now + 100ms);
    EXPECT_LE(subject.next_check(candidates), now + 250ms);
    subject.record(make_id(1), now + 250ms);
    EXPECT_GE(subject.next_check(candidates), now + 1s);
}

TEST(check_schedule, older_confirmation_is_ignored)
{
    seeded_random random{1};
    const monotonic_time now{1h};
    check_schedule subject{make_id(1), random, now};
    EXPECT_TRUE(subject.record(make_id(2), now + 10ms));
    EXPECT_FALSE(subject.record(make_id(3), now + 5ms));
    EXPECT_EQ(subject.confirmed_as_of(), now + 10ms);
}

} // namespace savorywheel::test
