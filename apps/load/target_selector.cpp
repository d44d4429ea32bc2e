#include <load/target_selector.hpp>

namespace savorywheel::load {

const load_target& select_target(std::span<const load_target> targets, random_source& random)
{
    std::uint64_t sum{};
    for (const auto& target : targets) {
        sum += target.weight;
    }
    auto remaining = random.below(sum);
    for (const auto& target : targets) {
        if (remaining < target.weight) {
            return target;
        }
        remaining -= target.weight;
    }
    return targets.back();
}

} // namespace savorywheel::load
