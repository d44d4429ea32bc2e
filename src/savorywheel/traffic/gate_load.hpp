#ifndef SAVORYWHEEL_TRAFFIC_GATE_LOAD_HPP
#define SAVORYWHEEL_TRAFFIC_GATE_LOAD_HPP

#include <chrono>
#include <cstdint>

namespace savorywheel {

/** @brief Load of a backend server, reported by its gate in each response. */
struct gate_load {
    /** @brief Number of running calls. */
    std::uint32_t running{};
    /** @brief Number of queued calls. */
    std::uint32_t waiting{};
    /** @brief Mean service time of a call, without queueing; zero if unknown. */
    std::chrono::microseconds service_time{};
    /** @brief Expected time that the running and queued calls still need; zero if unknown. */
    std::chrono::microseconds work{};
};

} // namespace savorywheel

#endif
