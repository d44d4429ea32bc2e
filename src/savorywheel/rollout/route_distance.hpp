#ifndef SAVORYWHEEL_ROLLOUT_ROUTE_DISTANCE_HPP
#define SAVORYWHEEL_ROLLOUT_ROUTE_DISTANCE_HPP

#include <cstdint>

namespace savorywheel {

/** @brief Distance from callers' nodes to backend servers, as far as it makes calls comparable. */
enum class route_distance : std::uint8_t { any, same_region, other_region };

} // namespace savorywheel

#endif
