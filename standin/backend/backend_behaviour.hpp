#ifndef SAVORYWHEEL_STANDIN_BACKEND_BACKEND_BEHAVIOUR_HPP
#define SAVORYWHEEL_STANDIN_BACKEND_BACKEND_BEHAVIOUR_HPP

#include <chrono>
#include <string>

namespace savorywheel::standin {

/** @brief How the backend stand-in answers. */
struct backend_behaviour {
    /** @brief Time that a request takes. */
    std::chrono::microseconds latency{};
    /** @brief Share of requests that fail with 500, in parts per thousand. */
    unsigned fail_permille{};
    /** @brief Path that fails alone; all paths if empty. */
    std::string fail_path;
};

} // namespace savorywheel::standin

#endif
