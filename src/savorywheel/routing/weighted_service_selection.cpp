#include <savorywheel/routing/weighted_sampling.hpp>
#include <savorywheel/routing/weighted_service_selection.hpp>

namespace savorywheel {

const service_name* select_service_by_weight(std::span<const service_share> shares,
                                             random_source& random)
{
    const auto* selected = sample_by_weight(
        shares, [](const service_share& share) { return share.weight; }, random);
    return selected == nullptr ? nullptr : &selected->service;
}

} // namespace savorywheel
