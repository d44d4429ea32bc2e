#ifndef SAVORYWHEEL_TRAFFIC_DEPARTURE_COPY_HPP
#define SAVORYWHEEL_TRAFFIC_DEPARTURE_COPY_HPP

#include <savorywheel/core/names.hpp>
#include <savorywheel/traffic/backend_departures.hpp>

namespace savorywheel {

/** @brief Message between nodes: the departures at one of them. */
struct departure_copy {
    /** @brief Node whose backend servers have left. */
    node_id owner;
    backend_departures departures;

    [[nodiscard]] friend bool operator==(const departure_copy&, const departure_copy&) = default;
};

} // namespace savorywheel

#endif
