#include <savorywheel/core/system_clock_source.hpp>
#include <savorywheel/io/io_loop.hpp>

#include <gtest/gtest.h>

#include <future>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace savorywheel::test {

TEST(io_loop, an_exception_ends_its_task_and_is_reported)
{
    const system_clock_source time;
    std::vector<std::string> errors;
    io_loop loop{time, [&errors](std::string_view error) { errors.emplace_back(error); }};
    loop.start("test");
    std::promise<void> done;
    subscription timer;
    loop.post([] { throw std::runtime_error{"first"}; });
    loop.post([&] {
        timer =
            loop.after(std::chrono::milliseconds{1}, [] { throw std::runtime_error{"second"}; });
    });
    loop.post([&] {
        auto after = std::make_shared<subscription>();
        *after = loop.after(std::chrono::milliseconds{5}, [after, &done] { done.set_value(); });
    });
    EXPECT_EQ(done.get_future().wait_for(std::chrono::seconds{10}), std::future_status::ready);
    loop.stop();
    EXPECT_EQ(errors, (std::vector<std::string>{"first", "second"}));
}

TEST(io_loop, cancelled_timer_does_not_run_and_others_keep_their_order)
{
    const system_clock_source time;
    io_loop loop{time};
    loop.start("test");
    std::vector<int> order;
    std::promise<void> done;
    std::vector<subscription> timers;
    loop.post([&] {
        timers.push_back(loop.after(std::chrono::milliseconds{30}, [&] { done.set_value(); }));
        timers.push_back(loop.after(std::chrono::milliseconds{10}, [&] { order.push_back(2); }));
        timers.push_back(loop.after(std::chrono::milliseconds{1}, [&] { order.push_back(1); }));
        timers.push_back(loop.after(std::chrono::milliseconds{5}, [&] { order.push_back(0); }));
        timers.back().reset();
    });
    EXPECT_EQ(done.get_future().wait_for(std::chrono::seconds{10}), std::future_status::ready);
    loop.stop();
    EXPECT_EQ(order, (std::vector<int>{1, 2}));
}

} // namespace savorywheel::test
