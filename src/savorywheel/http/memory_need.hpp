#ifndef SAVORYWHEEL_HTTP_MEMORY_NEED_HPP
#define SAVORYWHEEL_HTTP_MEMORY_NEED_HPP

namespace savorywheel {

/** @brief What a server needs memory for. */
enum class memory_need {
    /** @brief A request that has not run; it can be refused. */
    request,
    /** @brief A response to a request that has run; without it the caller's outcome is unknown. */
    response
};

} // namespace savorywheel

#endif
