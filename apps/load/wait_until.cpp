#include <load/wait_until.hpp>

#include <thread>

namespace savorywheel::load {

bool wait_until(const std::function<bool()>& condition, std::chrono::milliseconds timeout,
                std::chrono::milliseconds period)
{
    const auto limit = std::chrono::steady_clock::now() + timeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= limit) {
            return false;
        }
        std::this_thread::sleep_for(period);
    }
    return true;
}

} // namespace savorywheel::load
