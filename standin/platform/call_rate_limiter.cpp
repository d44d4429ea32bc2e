#include <standin/platform/call_rate_limiter.hpp>

#include <algorithm>

namespace savorywheel::standin {

call_rate_limiter::call_rate_limiter(const clock& time, double per_second)
    : time_{time}, per_second_{per_second}, tokens_{per_second}, refilled_at_{time.now()}
{
}

bool call_rate_limiter::try_acquire()
{
    const std::scoped_lock lock{mutex_};
    if (per_second_ <= 0.0) {
        return true;
    }
    const auto now = time_.now();
    const auto elapsed = std::chrono::duration<double>(now - refilled_at_).count();
    tokens_ = std::min(per_second_, tokens_ + elapsed * per_second_);
    refilled_at_ = now;
    if (tokens_ < 1.0) {
        return false;
    }
    tokens_ -= 1.0;
    return true;
}

void call_rate_limiter::set_rate(double per_second)
{
    const std::scoped_lock lock{mutex_};
    per_second_ = per_second;
    tokens_ = per_second;
    refilled_at_ = time_.now();
}

} // namespace savorywheel::standin
