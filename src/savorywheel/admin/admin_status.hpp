#ifndef SAVORYWHEEL_ADMIN_ADMIN_STATUS_HPP
#define SAVORYWHEEL_ADMIN_ADMIN_STATUS_HPP

namespace savorywheel {

/** @brief Status codes of the administration API, as docs/ADMIN-API.md lists them. */
enum class admin_status : int {
    ok = 200,             /**< Done, or accepted. */
    bad_request = 400,    /**< The request is malformed; nothing was changed. */
    forbidden = 403,      /**< No operator has the key; nothing was changed. */
    not_found = 404,      /**< There is no such endpoint, service or text. */
    conflict = 409,       /**< The change is refused; nothing was changed. */
    unavailable = 503,    /**< The node or the store does not answer; nothing was changed. */
    gateway_timeout = 504 /**< The outcome is unknown; settle the operation. */
};

} // namespace savorywheel

#endif
