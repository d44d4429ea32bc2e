#ifndef SAVORYWHEEL_HTTP_CALLER_PHASE_HPP
#define SAVORYWHEEL_HTTP_CALLER_PHASE_HPP

namespace savorywheel {

/** @brief What a caller's connection is waiting for. */
enum class caller_phase {
    /** @brief The caller's next request. */
    idle,
    /** @brief The rest of a request, which has not run. */
    receiving,
    /** @brief The handler. */
    running,
    /** @brief The caller, which has to read a response. */
    sending
};

} // namespace savorywheel

#endif
