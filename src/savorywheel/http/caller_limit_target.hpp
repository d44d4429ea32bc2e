#ifndef SAVORYWHEEL_HTTP_CALLER_LIMIT_TARGET_HPP
#define SAVORYWHEEL_HTTP_CALLER_LIMIT_TARGET_HPP

#include <chrono>
#include <cstddef>

namespace savorywheel {

/** @brief Server whose limits on callers may change while it runs. */
class caller_limit_target {
public:
    caller_limit_target() = default;
    caller_limit_target(const caller_limit_target&) = delete;
    caller_limit_target& operator=(const caller_limit_target&) = delete;
    caller_limit_target(caller_limit_target&&) = delete;
    caller_limit_target& operator=(caller_limit_target&&) = delete;
    virtual ~caller_limit_target() = default;

    /**
     * @brief Replaces the limits; thread-safe.
     * @param max_body_bytes Maximum request body, in bytes.
     * @param idle_timeout Idle time after which persistent connections are closed, also those that
     * are open.
     * @param header_timeout Maximum time from the first byte of a request to the end of its header.
     */
    virtual void set_caller_limits(std::size_t max_body_bytes, std::chrono::seconds idle_timeout,
                                   std::chrono::milliseconds header_timeout) = 0;
};

} // namespace savorywheel

#endif
