#ifndef SAVORYWHEEL_TRAFFIC_CALL_OBSERVATION_HPP
#define SAVORYWHEEL_TRAFFIC_CALL_OBSERVATION_HPP

#include <savorywheel/core/clock.hpp>
#include <savorywheel/core/names.hpp>
#include <savorywheel/traffic/call_result.hpp>

#include <string_view>

namespace savorywheel {

/** @brief One attempt of a call, as its caller's node saw it; valid during one notification. */
struct call_observation {
    /** @brief Service. */
    const service_name& service;
    /** @brief Version that was chosen. */
    const version_name& version;
    /** @brief Path of the route. */
    std::string_view route;
    /** @brief Node beside the backend server. */
    const node_id& node;
    /** @brief Region of that node. */
    const region_name& region;
    /** @brief What became of the attempt. */
    call_result result{call_result::unknown};
    /** @brief HTTP status of the answer, if there is one. */
    int status{};
    /** @brief Time from sending to the outcome. */
    duration latency{};
};

} // namespace savorywheel

#endif
