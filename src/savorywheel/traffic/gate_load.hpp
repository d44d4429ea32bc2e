#ifndef SAVORYWHEEL_TRAFFIC_GATE_LOAD_HPP
#define SAVORYWHEEL_TRAFFIC_GATE_LOAD_HPP

#include <chrono>
#include <cstdint>

namespace savorywheel {

/** @brief What a gate says of its backend server's load with each answer. */
struct gate_load {
    /** @brief Calls that run. */
    std::uint32_t running{};
    /** @brief Calls that wait. */
    std::uint32_t waiting{};
    /** @brief Mean time that a call takes once it runs; zero if not known. */
    std::chrono::microseconds service_time{};
};

} // namespace savorywheel

#endif
