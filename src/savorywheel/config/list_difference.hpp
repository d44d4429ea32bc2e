#ifndef SAVORYWHEEL_CONFIG_LIST_DIFFERENCE_HPP
#define SAVORYWHEEL_CONFIG_LIST_DIFFERENCE_HPP

#include <savorywheel/config/list_segment.hpp>
#include <savorywheel/core/outcome.hpp>

#include <cstddef>
#include <map>
#include <span>
#include <string_view>
#include <vector>

namespace savorywheel {

/** @brief Items of a list by their keys; of several items with one key, the first one. */
template<typename Item, typename Key>
std::map<std::string_view, std::size_t> positions_of(const std::vector<Item>& list, const Key& key)
{
    std::map<std::string_view, std::size_t> positions;
    for (std::size_t i = 0; i < list.size(); ++i) {
        positions.try_emplace(key(list[i]), i);
    }
    return positions;
}

/**
 * @brief Describes a list by its difference from a base list, with its order.
 * @param key Returns the text by which an item is found in the base list.
 * @param change Returns the change for an item that the base list does not contain, from the item
 * with the same key, which may be nullptr, and the new item.
 */
template<typename Change, typename Item, typename Key, typename MakeChange>
list_delta<Change> make_list_delta(const std::vector<Item>& base, const std::vector<Item>& target,
                                   const Key& key, const MakeChange& change)
{
    const auto positions = positions_of(base, key);
    list_delta<Change> delta;
    for (const auto& item : target) {
        const auto known = positions.find(key(item));
        const auto* previous = known == positions.end() ? nullptr : &base[known->second];
        if (previous == nullptr || !(*previous == item)) {
            if (delta.empty()) {
                delta.emplace_back();
            }
            delta.back().added.push_back(change(previous, item));
            continue;
        }
        const auto position = static_cast<std::uint32_t>(known->second);
        if (delta.empty() || !delta.back().added.empty() ||
            delta.back().first + delta.back().count != position) {
            delta.push_back({position, 0, {}});
        }
        ++delta.back().count;
    }
    return delta;
}

/**
 * @brief Builds the list that a difference describes.
 * @param restore Returns the outcome of making an item from a change.
 * @param budget Number of items that the result may still have; reduced by those it has. Bounds the
 * memory for differences that name the same items of the base list many times.
 * @return The list; malformed if the difference does not fit the base list.
 */
template<typename Item, typename Change, typename Restore>
outcome<std::vector<Item>> apply_list_delta(const std::vector<Item>& base,
                                            const list_delta<Change>& delta, const Restore& restore,
                                            std::size_t& budget)
{
    std::vector<Item> result;
    for (const auto& segment : delta) {
        const auto size = std::size_t{segment.count} + segment.added.size();
        if (segment.first > base.size() || segment.count > base.size() - segment.first) {
            return failure{failure_code::malformed, "difference from a longer list"};
        }
        if (size > budget) {
            return failure{failure_code::malformed, "difference describes too many items"};
        }
        budget -= size;
        const auto kept = std::span{base}.subspan(segment.first, segment.count);
        result.insert(result.end(), kept.begin(), kept.end());
        for (const auto& item : segment.added) {
            auto restored = restore(item);
            if (!restored) {
                return restored.reason();
            }
            result.push_back(std::move(*restored));
        }
    }
    return result;
}

} // namespace savorywheel

#endif
