#include <savorywheel/traffic/retry_budget.hpp>

#include <algorithm>

namespace savorywheel {

void retry_budget::earn(const service_name& service)
{
    const std::scoped_lock lock{mutex_};
    auto& tokens = tokens_of(service);
    tokens = std::min(tokens + limits_.per_call, most_saved());
}

bool retry_budget::spend(const service_name& service)
{
    const std::scoped_lock lock{mutex_};
    auto& tokens = tokens_of(service);
    if (tokens < 1.0) {
        return false;
    }
    tokens -= 1.0;
    return true;
}

std::uint64_t retry_budget::saved(const service_name& service)
{
    const std::scoped_lock lock{mutex_};
    return static_cast<std::uint64_t>(tokens_of(service));
}

void retry_budget::set_limits(retry_limits limits)
{
    const std::scoped_lock lock{mutex_};
    limits_ = limits;
    cut_to_most_saved();
}

void retry_budget::set_nodes(std::size_t nodes)
{
    const std::scoped_lock lock{mutex_};
    nodes_ = std::max<std::size_t>(nodes, 1);
    cut_to_most_saved();
}

void retry_budget::cut_to_most_saved()
{
    for (auto& [service, tokens] : tokens_) {
        tokens = std::min(tokens, most_saved());
    }
}

double& retry_budget::tokens_of(const service_name& service)
{
    return tokens_.try_emplace(service, most_saved()).first->second;
}

double retry_budget::most_saved() const noexcept
{
    // A balance below one retry could never be used.
    return std::max(limits_.saved_by_mesh / static_cast<double>(nodes_), 1.0);
}

} // namespace savorywheel
