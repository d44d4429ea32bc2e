#ifndef SAVORYWHEEL_DISTRIBUTION_WATCHER_CHOICE_HPP
#define SAVORYWHEEL_DISTRIBUTION_WATCHER_CHOICE_HPP

#include <savorywheel/distribution/watch_role.hpp>
#include <savorywheel/membership/member_table.hpp>

#include <cstddef>

namespace savorywheel {

/** @brief Watchers of each region; the second one works while the death of the first is unknown. */
inline constexpr std::size_t watchers_per_region = 2;

/**
 * @brief Largest mesh in which every node watches.
 *
 * 24 nodes cost two waiting watches each, about 2 requests a second, and hear without a tree.
 */
inline constexpr std::size_t max_mesh_of_watchers = 24;

/** @brief Role of a node, and its place among the watchers of the mesh. */
struct watcher_choice {
    watch_role role{watch_role::alone};
    /** @brief Number of watchers of the mesh before this one; zero for other roles. */
    std::size_t rank{};

    [[nodiscard]] friend bool operator==(const watcher_choice&, const watcher_choice&) = default;
};

/**
 * @brief Decides whether a node watches the documents in the store.
 *
 * The watchers of a region are the live nodes that can reach the store with the lowest hashes. A
 * change of one member changes no other watchers but its own replacement. Nodes with different
 * member tables may choose more or fewer watchers; the checks of check_schedule do not depend on
 * who watches. Takes time in proportion to the number of members.
 * @param self Record of the node in question.
 * @param members Members, including this node.
 */
[[nodiscard]] watcher_choice choose_watchers(const member_record& self,
                                             const member_table& members);

} // namespace savorywheel

#endif
