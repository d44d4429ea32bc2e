#include <savorywheel/distribution/watch_schedule.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <support/manual_clock.hpp>

#include <algorithm>
#include <deque>
#include <vector>

namespace savorywheel::test {

namespace {

using std::chrono::milliseconds;

/** Schedules of a mesh, each with its node's rank. */
std::deque<watch_schedule> make_mesh(const clock& time, std::size_t nodes)
{
    std::deque<watch_schedule> mesh;
    for (std::size_t rank = 0; rank < nodes; ++rank) {
        mesh.emplace_back(time).set_place(rank, nodes);
    }
    return mesh;
}

} // namespace

// Report CONFIG/DENIED: with silent watches at all nodes, none asked the store for 25 s.
RC_GTEST_PROP(watch_schedule, some_node_renews_its_watch_in_every_two_seconds, ())
{
    manual_clock time;
    time.advance(milliseconds{*rc::gen::inRange(0, 1'000'000)});
    const auto mesh = make_mesh(time, *rc::gen::inRange<std::size_t>(1, 40));
    auto soonest = milliseconds::max();
    for (const auto& item : mesh) {
        soonest = std::min(soonest, item.next_wait());
    }
    RC_ASSERT(soonest <= milliseconds{2000});
}

RC_GTEST_PROP(watch_schedule, requests_do_not_grow_with_the_mesh, ())
{
    manual_clock time;
    constexpr milliseconds length{60'000};
    constexpr milliseconds step{50};
    auto mesh = make_mesh(time, *rc::gen::inRange<std::size_t>(1, 25));
    std::vector<milliseconds> due;
    due.reserve(mesh.size());
    for (const auto& item : mesh) {
        due.push_back(item.next_wait());
    }
    int renewals = 0;
    for (milliseconds now{}; now < length; now += step) {
        for (std::size_t i = 0; i < due.size(); ++i) {
            if (due[i] <= now) {
                ++renewals;
                due[i] = now + mesh[i].next_wait();
            }
        }
        time.advance(step);
    }
    RC_ASSERT(renewals <= 62);
}

TEST(watch_schedule, wait_is_within_the_limits_of_the_store)
{
    manual_clock time;
    watch_schedule subject{time};
    subject.set_place(14'000, 15'000);
    EXPECT_LE(subject.next_wait(), milliseconds{25'000});
    subject.set_place(0, 0);
    EXPECT_GE(subject.next_wait(), milliseconds{500});
}

} // namespace savorywheel::test
