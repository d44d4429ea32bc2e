#ifndef SAVORYWHEEL_CONFIG_LIST_SEGMENT_HPP
#define SAVORYWHEEL_CONFIG_LIST_SEGMENT_HPP

#include <cstdint>
#include <vector>

namespace savorywheel {

/**
 * @brief Part of a list that is described by its difference from a base list.
 * @tparam Change An item, or its difference from one of the base list.
 */
template<typename Change>
struct list_segment {
    /** @brief Position in the base list of the first item that is kept. */
    std::uint32_t first{};
    /** @brief Number of items that are kept. */
    std::uint32_t count{};
    /** @brief Items that follow the kept ones, and are not in the base list. */
    std::vector<Change> added;

    [[nodiscard]] friend bool operator==(const list_segment&, const list_segment&) = default;
};

/** @brief List as the sequence of its segments. */
template<typename Change>
using list_delta = std::vector<list_segment<Change>>;

} // namespace savorywheel

#endif
