#ifndef SAVORYWHEEL_ROLLOUT_ROUTE_STRATUM_HPP
#define SAVORYWHEEL_ROLLOUT_ROUTE_STRATUM_HPP

#include <savorywheel/rollout/route_distance.hpp>

#include <compare>
#include <string>

namespace savorywheel {

/** @brief Stratum of comparable calls; latencies are comparable only at the same distance. */
struct route_stratum {
    /** @brief Path of the route. */
    std::string route;
    /** @brief Distance between the callers' nodes and the backend servers. */
    route_distance distance{route_distance::any};

    [[nodiscard]] friend auto operator<=>(const route_stratum&, const route_stratum&) = default;
};

} // namespace savorywheel

#endif
