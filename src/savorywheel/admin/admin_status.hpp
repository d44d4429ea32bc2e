#ifndef SAVORYWHEEL_ADMIN_ADMIN_STATUS_HPP
#define SAVORYWHEEL_ADMIN_ADMIN_STATUS_HPP

namespace savorywheel {

/** @brief Status codes of the administration API, as docs/ADMIN-API.md lists them. */
enum class admin_status : int {
    ok = 200,             /**< Success. */
    bad_request = 400,    /**< The request is malformed; nothing was changed. */
    forbidden = 403,      /**< No operator has the key; nothing was changed. */
    not_found = 404,      /**< No such endpoint, service or text. */
    conflict = 409,       /**< The change was refused; nothing was changed. */
    unavailable = 503,    /**< No response from the node or the store; nothing was changed. */
    gateway_timeout = 504 /**< Outcome unknown; the operation must be settled. */
};

} // namespace savorywheel

#endif
