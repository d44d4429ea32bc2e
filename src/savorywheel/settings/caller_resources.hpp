#ifndef SAVORYWHEEL_SETTINGS_CALLER_RESOURCES_HPP
#define SAVORYWHEEL_SETTINGS_CALLER_RESOURCES_HPP

#include <cstddef>

namespace savorywheel {

/** @brief What a listener for callers may use; see docs/design/misbehaving-clients.md. */
struct caller_resources {
    /** @brief Maximum of open connections: callers that retry during an overload open new ones. */
    unsigned connections{500};
    /**
     * @brief Maximum memory held for all callers, in bytes. Three of four parts are for large
     * requests, which is room for two bodies of the maximum size with their buffers.
     */
    std::size_t memory_bytes{32UL * 1024UL * 1024UL};
    /**
     * @brief Maximum request body that is held in memory, in bytes. At most half of the largest
     * frame to another node: while a call is sent, the server, the call and the frame hold its body
     * at once.
     */
    std::size_t body_bytes{8UL * 1024UL * 1024UL};
};

} // namespace savorywheel

#endif
