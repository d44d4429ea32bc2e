#ifndef SAVORYWHEEL_STANDIN_PLATFORM_INJECTED_FAULTS_HPP
#define SAVORYWHEEL_STANDIN_PLATFORM_INJECTED_FAULTS_HPP

#include <chrono>

namespace savorywheel::standin {

/** @brief Faults that the platform stand-in shows. */
struct injected_faults {
    /** @brief Every request is refused with 503. */
    bool down{};
    /** @brief The answers to this many writes are lost after the write took effect. */
    unsigned lost_answers{};
    /** @brief Delay before each answer. */
    std::chrono::milliseconds delay{};
};

} // namespace savorywheel::standin

#endif
