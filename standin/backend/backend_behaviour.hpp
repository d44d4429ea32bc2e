#ifndef SAVORYWHEEL_STANDIN_BACKEND_BACKEND_BEHAVIOUR_HPP
#define SAVORYWHEEL_STANDIN_BACKEND_BACKEND_BEHAVIOUR_HPP

#include <chrono>
#include <string>

namespace savorywheel::standin {

/** @brief Simulated latency and failures of the backend stand-in. */
struct backend_behaviour {
    /** @brief Time to run a request. */
    std::chrono::microseconds latency{};
    /** @brief Share of requests that fail with 500, in parts per thousand. */
    unsigned fail_permille{};
    /** @brief The only path whose requests fail; empty for all paths. */
    std::string fail_path;
};

} // namespace savorywheel::standin

#endif
