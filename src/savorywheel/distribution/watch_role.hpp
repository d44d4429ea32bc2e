#ifndef SAVORYWHEEL_DISTRIBUTION_WATCH_ROLE_HPP
#define SAVORYWHEEL_DISTRIBUTION_WATCH_ROLE_HPP

#include <cstdint>

namespace savorywheel {

/** @brief How a node learns of changes of the documents. */
enum class watch_role : std::uint8_t {
    alone,    /**< Knows no other live node; reads the documents at its checks only. */
    everyone, /**< Watches, as all nodes of a small mesh do. */
    watcher,  /**< Watches for its region, and tells all other nodes. */
    follower  /**< Does not watch; watchers tell it. */
};

/** @return True if a node with this role watches the documents. */
[[nodiscard]] constexpr bool watches(watch_role role) noexcept
{
    return role == watch_role::everyone || role == watch_role::watcher;
}

} // namespace savorywheel

#endif
