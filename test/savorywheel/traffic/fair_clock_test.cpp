#include <savorywheel/traffic/call_queue.hpp>
#include <savorywheel/traffic/fair_clock.hpp>

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <string>

namespace savorywheel::test {

namespace {

using std::chrono::milliseconds;

std::shared_ptr<gate_call> make_call(const std::string& tenant, std::uint32_t weight,
                                     milliseconds work)
{
    auto item = std::make_shared<gate_call>();
    item->call.tenant = tenant_name{tenant};
    item->call.tenant_weight = weight;
    item->expected.mean = work;
    return item;
}

} // namespace

// Guards against shares by count: a tenant whose calls are ten times as long gets the same work.
TEST(fair_clock, tenants_with_full_queues_share_the_work_by_weight)
{
    call_queue queue;
    std::map<std::string, milliseconds> done;
    for (int i = 0; i < 4000; ++i) {
        queue.push(make_call("short", 1, milliseconds{30}));
        queue.push(make_call("long", 1, milliseconds{300}));
        queue.push(make_call("heavy", 2, milliseconds{100}));
    }
    for (int i = 0; i < 6000; ++i) {
        const auto item = queue.pop();
        done[item->call.tenant.str()] +=
            std::chrono::duration_cast<milliseconds>(item->expected.mean);
    }
    const double unit = static_cast<double>(done["short"].count());
    EXPECT_NEAR(static_cast<double>(done["long"].count()) / unit, 1.0, 0.05);
    EXPECT_NEAR(static_cast<double>(done["heavy"].count()) / unit, 2.0, 0.1);
}

// Guards against a small tenant that waits for the backlog of a large one.
TEST(fair_clock, call_of_a_tenant_within_its_share_passes_the_backlog_of_another)
{
    call_queue queue;
    for (int i = 0; i < 100; ++i) {
        queue.push(make_call("large", 500, milliseconds{100}));
    }
    const auto item = make_call("small", 1, milliseconds{100});
    queue.push(item);
    // Ahead are the calls of the large tenant until it exceeds its burst of one second of work, not
    // its backlog of ten seconds.
    for (int i = 0; i < 12; ++i) {
        if (queue.pop() == item) {
            return;
        }
    }
    FAIL() << "the call is still queued";
}

// Guards against memory of each tenant that ever sent a call.
TEST(fair_clock, forgets_tenants_that_have_had_no_more_than_others)
{
    fair_clock subject;
    for (int i = 0; i < 10'000; ++i) {
        subject.add(tenant_name{std::to_string(i)}, milliseconds{100}, 1);
        subject.advance(milliseconds{100});
    }
    EXPECT_LE(subject.size(), 2U);
}

} // namespace savorywheel::test
