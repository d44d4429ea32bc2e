#include <savorywheel/core/control_loop.hpp>
#include <savorywheel/core/system_clock_source.hpp>

#include <gtest/gtest.h>

#include <stdexcept>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace savorywheel::test {

using namespace std::chrono_literals;

TEST(control_loop, runs_events_in_posting_order)
{
    const system_clock_source time;
    control_loop loop{time};
    std::vector<int> seen;
    for (int i = 0; i < 100; ++i) {
        loop.post([&seen, i] { seen.push_back(i); });
    }
    loop.post([&loop] { loop.stop(); });
    loop.run();
    ASSERT_EQ(seen.size(), 100U);
    for (int i = 0; i < 100; ++i) {
        EXPECT_EQ(seen[static_cast<std::size_t>(i)], i);
    }
}

TEST(control_loop, an_exception_ends_its_event_and_is_reported)
{
    const system_clock_source time;
    control_loop loop{time};
    std::vector<std::string> errors;
    loop.set_error_listener([&errors](std::string_view error) { errors.emplace_back(error); });
    bool later_event_ran = false;
    loop.post([] { throw std::runtime_error{"unexpected"}; });
    loop.post([&later_event_ran] { later_event_ran = true; });
    const auto timer = loop.timers().after(1ms, [&loop] {
        loop.stop();
        throw std::runtime_error{"in a timer"};
    });
    loop.run();
    EXPECT_TRUE(later_event_ran);
    EXPECT_EQ(errors, (std::vector<std::string>{"unexpected", "in a timer"}));
}

TEST(control_loop, wakes_for_a_timer_without_an_event)
{
    const system_clock_source time;
    control_loop loop{time};
    const auto timer = loop.timers().after(5ms, [&loop] { loop.stop(); });
    loop.run();
    SUCCEED();
}

TEST(control_loop, accepts_events_from_many_threads)
{
    const system_clock_source time;
    control_loop loop{time};
    constexpr int threads = 4;
    constexpr int events = 1000;
    int count = 0;
    {
        std::vector<std::jthread> writers;
        writers.reserve(threads);
        for (int i = 0; i < threads; ++i) {
            writers.emplace_back([&] {
                for (int k = 0; k < events; ++k) {
                    loop.post([&] {
                        if (++count == threads * events) {
                            loop.stop();
                        }
                    });
                }
            });
        }
        loop.run();
    }
    EXPECT_EQ(count, threads * events);
}

} // namespace savorywheel::test
