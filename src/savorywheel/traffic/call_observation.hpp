#ifndef SAVORYWHEEL_TRAFFIC_CALL_OBSERVATION_HPP
#define SAVORYWHEEL_TRAFFIC_CALL_OBSERVATION_HPP

#include <savorywheel/core/clock.hpp>
#include <savorywheel/core/names.hpp>
#include <savorywheel/traffic/call_result.hpp>

#include <string_view>

namespace savorywheel {

/** @brief Outcome of one attempt of a call at the caller's node; valid during the callback. */
struct call_observation {
    const service_name& service;
    /** @brief Version that was selected. */
    const version_name& version;
    /** @brief Path of the route. */
    std::string_view route;
    /** @brief Node co-located with the backend server. */
    const node_id& node;
    /** @brief Region of that node. */
    const region_name& region;
    call_result result{call_result::unknown};
    /** @brief HTTP status of the response; zero without a response. */
    int status{};
    /** @brief Time from sending the attempt to its outcome. */
    duration latency{};
};

} // namespace savorywheel

#endif
