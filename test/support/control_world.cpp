#include <support/control_world.hpp>

#include <future>

namespace savorywheel::test {

namespace {

/** Shorter than the timers of the components under test. */
constexpr std::chrono::milliseconds step{50};
/** A read and the write that depends on it. */
constexpr int store_calls_in_a_row = 2;

} // namespace

void control_world::pass(std::chrono::milliseconds length)
{
    for (std::chrono::milliseconds passed{}; passed < length; passed += step) {
        time_.advance(step);
        loop_.run_pending();
        for (int call = 0; call < store_calls_in_a_row; ++call) {
            finish_store_calls();
            loop_.run_pending();
        }
    }
}

void control_world::finish_store_calls()
{
    std::promise<void> done;
    worker_.submit([&done](object_store& /*store*/) { done.set_value(); });
    done.get_future().wait();
}

} // namespace savorywheel::test
