#include <support/wait_until.hpp>

#include <thread>

namespace savorywheel::test {

bool wait_until(const std::function<bool()>& condition, std::chrono::milliseconds timeout)
{
    constexpr std::chrono::milliseconds check_period{10};
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= deadline) {
            return false;
        }
        std::this_thread::sleep_for(check_period);
    }
    return true;
}

} // namespace savorywheel::test
