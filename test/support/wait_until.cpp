#include <support/wait_until.hpp>

#include <thread>

namespace savorywheel::test {

bool wait_until(const std::function<bool()>& condition, std::chrono::milliseconds patience)
{
    constexpr std::chrono::milliseconds check_period{10};
    const auto limit = std::chrono::steady_clock::now() + patience;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= limit) {
            return false;
        }
        std::this_thread::sleep_for(check_period);
    }
    return true;
}

} // namespace savorywheel::test
