#include <savorywheel/traffic/call_queue.hpp>

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>

namespace savorywheel::test {

namespace {

std::shared_ptr<gate_call> make_call(std::uint32_t priority, std::uint64_t number)
{
    auto call = std::make_shared<gate_call>();
    call->call.priority = priority;
    call->correlation = number;
    return call;
}

} // namespace

TEST(call_queue, orders_by_priority_then_arrival)
{
    EXPECT_TRUE(rc::check([] {
        call_queue queue;
        std::vector<std::pair<std::uint32_t, std::uint64_t>> expected;
        const auto count = *rc::gen::inRange<std::uint64_t>(0, 40);
        for (std::uint64_t i = 0; i < count; ++i) {
            const auto priority = *rc::gen::inRange<std::uint32_t>(0, 4);
            queue.push(make_call(priority, i));
            expected.emplace_back(priority, i);
        }
        RC_ASSERT(queue.size() == count);
        std::ranges::sort(expected);
        const auto urgent =
            std::ranges::count_if(expected, [](const auto& item) { return item.first <= 1; });
        RC_ASSERT(queue.count_ahead_of(1) == static_cast<std::size_t>(urgent));
        for (const auto& [priority, number] : expected) {
            const auto item = queue.pop();
            RC_ASSERT(item->call.priority == priority);
            RC_ASSERT(item->correlation == number);
        }
        RC_ASSERT(queue.pop() == nullptr);
        RC_ASSERT(queue.empty());
    }));
}

TEST(call_queue, remove_if_updates_size)
{
    call_queue queue;
    for (std::uint64_t i = 0; i < 6; ++i) {
        queue.push(make_call(i % 2, i));
    }
    const auto removed =
        queue.remove_if([](const gate_call& item) { return item.correlation < 3; });
    EXPECT_EQ(removed.size(), 3U);
    EXPECT_EQ(queue.size(), 3U);
    EXPECT_EQ(queue.pop()->correlation, 4U);
}

} // namespace savorywheel::test
