#include <support/control_loop_fixture.hpp>

#include <future>

namespace savorywheel::test {

namespace {

/** Shorter than the timers of the components under test. */
constexpr std::chrono::milliseconds step{50};
/** A read and the write that depends on it. */
constexpr int store_calls_per_step = 2;

} // namespace

void control_loop_fixture::advance_time(std::chrono::milliseconds amount)
{
    for (std::chrono::milliseconds elapsed{}; elapsed < amount; elapsed += step) {
        time_.advance(step);
        loop_.run_pending();
        for (int call = 0; call < store_calls_per_step; ++call) {
            finish_store_calls();
            loop_.run_pending();
        }
    }
}

void control_loop_fixture::finish_store_calls()
{
    std::promise<void> done;
    worker_.submit([&done](object_store& /*store*/) { done.set_value(); });
    done.get_future().wait();
}

} // namespace savorywheel::test
