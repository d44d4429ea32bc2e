#ifndef SAVORYWHEEL_STANDIN_PLATFORM_INJECTED_FAULTS_HPP
#define SAVORYWHEEL_STANDIN_PLATFORM_INJECTED_FAULTS_HPP

#include <chrono>

namespace savorywheel::standin {

/** @brief Faults that the platform stand-in injects. */
struct injected_faults {
    /** @brief Rejects every request with 503. */
    bool down{};
    /** @brief Number of next writes whose response is lost after the write took effect. */
    unsigned lost_answers{};
    /** @brief Delay before each response. */
    std::chrono::milliseconds delay{};
};

} // namespace savorywheel::standin

#endif
