#include <savorywheel/traffic/retry_budget.hpp>

#include <algorithm>

namespace savorywheel {

void retry_budget::deposit(const service_name& service)
{
    const std::scoped_lock lock{mutex_};
    auto& tokens = balance_of(service);
    tokens = std::min(tokens + limits_.per_call, max_balance());
}

bool retry_budget::try_withdraw(const service_name& service)
{
    const std::scoped_lock lock{mutex_};
    auto& tokens = balance_of(service);
    if (tokens < 1.0) {
        return false;
    }
    tokens -= 1.0;
    return true;
}

std::uint64_t retry_budget::balance(const service_name& service)
{
    const std::scoped_lock lock{mutex_};
    return static_cast<std::uint64_t>(balance_of(service));
}

void retry_budget::set_limits(retry_limits limits)
{
    const std::scoped_lock lock{mutex_};
    limits_ = limits;
    clamp_balances();
}

void retry_budget::set_nodes(std::size_t nodes)
{
    const std::scoped_lock lock{mutex_};
    nodes_ = std::max<std::size_t>(nodes, 1);
    clamp_balances();
}

void retry_budget::clamp_balances()
{
    for (auto& [service, tokens] : balances_) {
        tokens = std::min(tokens, max_balance());
    }
}

double& retry_budget::balance_of(const service_name& service)
{
    return balances_.try_emplace(service, max_balance()).first->second;
}

double retry_budget::max_balance() const noexcept
{
    // A balance below one retry could never be used.
    return std::max(limits_.saved_by_mesh / static_cast<double>(nodes_), 1.0);
}

} // namespace savorywheel
