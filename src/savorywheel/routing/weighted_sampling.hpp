#ifndef SAVORYWHEEL_ROUTING_WEIGHTED_SAMPLING_HPP
#define SAVORYWHEEL_ROUTING_WEIGHTED_SAMPLING_HPP

#include <savorywheel/core/random_source.hpp>

#include <cstdint>
#include <span>

namespace savorywheel {

/**
 * @brief Selects an item with a probability proportional to its weight.
 * @param items Items to select from.
 * @param weight_of Returns the weight of an item; called twice per item, must be deterministic.
 * @param random Random number source.
 * @return The item; nullptr if the sum of the weights is zero.
 */
template<typename Item, typename Weight>
[[nodiscard]] const Item* sample_by_weight(std::span<const Item> items, Weight weight_of,
                                           random_source& random)
{
    std::uint64_t sum = 0;
    for (const auto& item : items) {
        sum += weight_of(item);
    }
    if (sum == 0) {
        return nullptr;
    }
    auto remaining = random.below(sum);
    for (const auto& item : items) {
        const std::uint64_t weight = weight_of(item);
        if (remaining < weight) {
            return &item;
        }
        remaining -= weight;
    }
    return nullptr;
}

} // namespace savorywheel

#endif
