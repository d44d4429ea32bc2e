#ifndef SAVORYWHEEL_HTTP_RESPONSE_CONDITIONS_HPP
#define SAVORYWHEEL_HTTP_RESPONSE_CONDITIONS_HPP

namespace savorywheel {

/** @brief What the request and the state of the connection require of a response. */
struct response_conditions {
    /** @brief True if the connection is closed after the response. */
    bool closes{};
    /** @brief True for the response to a HEAD request, which has no body. */
    bool head_request{};
    /** @brief True if an HTTP/1.0 caller asked to keep the connection. */
    bool confirms_keep_alive{};
};

} // namespace savorywheel

#endif
