#include <savorywheel/traffic/response_sizes.hpp>

namespace savorywheel {

namespace {

constexpr double smoothing = 8;
/** Bounds the memory if configurations keep bringing new routes. */
constexpr std::size_t max_routes = 4096;

} // namespace

void response_sizes::record(const service_name& service, std::string_view route, std::size_t bytes)
{
    const auto sample = static_cast<double>(bytes);
    const auto [item, is_new] = means_.try_emplace(key{service, route}, sample);
    if (!is_new) {
        item->second += (sample - item->second) / smoothing;
    }
    else if (means_.size() > max_routes) {
        means_.clear();
    }
}

std::size_t response_sizes::expected(const service_name& service, std::string_view route) const
{
    const auto found = means_.find(key{service, route});
    return found == means_.end() ? 0 : static_cast<std::size_t>(found->second);
}

} // namespace savorywheel
