#include <savorywheel/traffic/retry_budget.hpp>

#include <algorithm>

namespace savorywheel {

namespace {

constexpr double retries_per_call = 0.1;
constexpr double most_saved_retries = 10.0;

} // namespace

void retry_budget::earn(const service_name& service)
{
    const std::scoped_lock lock{mutex_};
    auto& tokens = tokens_.try_emplace(service, most_saved_retries).first->second;
    tokens = std::min(tokens + retries_per_call, most_saved_retries);
}

bool retry_budget::spend(const service_name& service)
{
    const std::scoped_lock lock{mutex_};
    auto& tokens = tokens_.try_emplace(service, most_saved_retries).first->second;
    if (tokens < 1.0) {
        return false;
    }
    tokens -= 1.0;
    return true;
}

} // namespace savorywheel
