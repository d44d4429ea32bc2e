#include <load/target_chooser.hpp>

namespace savorywheel::load {

const load_target& choose_target(std::span<const load_target> targets, random_source& random)
{
    std::uint64_t sum{};
    for (const auto& target : targets) {
        sum += target.weight;
    }
    auto drawn = random.below(sum);
    for (const auto& target : targets) {
        if (drawn < target.weight) {
            return target;
        }
        drawn -= target.weight;
    }
    return targets.back();
}

} // namespace savorywheel::load
