#include <savorywheel/routing/share_choice.hpp>

#include <numeric>

namespace savorywheel {

const service_name* choose_by_share(std::span<const service_share> shares, random_source& random)
{
    const auto sum = std::accumulate(
        shares.begin(), shares.end(), std::uint64_t{0},
        [](std::uint64_t total, const service_share& item) { return total + item.weight; });
    if (sum == 0) {
        return nullptr;
    }
    auto draw = random.below(sum);
    for (const auto& item : shares) {
        if (draw < item.weight) {
            return &item.service;
        }
        draw -= item.weight;
    }
    return nullptr;
}

} // namespace savorywheel
