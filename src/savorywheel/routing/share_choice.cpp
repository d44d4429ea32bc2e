#include <savorywheel/routing/share_choice.hpp>
#include <savorywheel/routing/weighted_draw.hpp>

namespace savorywheel {

const service_name* choose_by_share(std::span<const service_share> shares, random_source& random)
{
    const auto* drawn = draw_by_weight(
        shares, [](const service_share& share) { return share.weight; }, random);
    return drawn == nullptr ? nullptr : &drawn->service;
}

} // namespace savorywheel
