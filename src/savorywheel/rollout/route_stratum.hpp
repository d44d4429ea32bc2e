#ifndef SAVORYWHEEL_ROLLOUT_ROUTE_STRATUM_HPP
#define SAVORYWHEEL_ROLLOUT_ROUTE_STRATUM_HPP

#include <compare>
#include <string>

namespace savorywheel {

/** @brief Stratum of comparable calls: same route and same distance to the backend server. */
struct route_stratum {
    /** @brief Path of the route. */
    std::string route;
    /** @brief True if the backend server is in another region than the caller's node. */
    bool other_region{};

    [[nodiscard]] friend auto operator<=>(const route_stratum&, const route_stratum&) = default;
};

} // namespace savorywheel

#endif
