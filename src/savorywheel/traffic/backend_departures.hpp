#ifndef SAVORYWHEEL_TRAFFIC_BACKEND_DEPARTURES_HPP
#define SAVORYWHEEL_TRAFFIC_BACKEND_DEPARTURES_HPP

#include <savorywheel/traffic/backend_departure.hpp>

#include <vector>

namespace savorywheel {

/** @brief Acknowledged departures at one VM, as they stand in the platform's store. */
struct backend_departures {
    /** @brief Oldest first. */
    std::vector<backend_departure> items;

    [[nodiscard]] friend bool operator==(const backend_departures&,
                                         const backend_departures&) = default;
};

} // namespace savorywheel

#endif
