#ifndef SAVORYWHEEL_CONFIG_CALLER_LIMITS_HPP
#define SAVORYWHEEL_CONFIG_CALLER_LIMITS_HPP

#include <chrono>
#include <cstdint>
#include <optional>

namespace savorywheel {

/** @brief What operators allow a caller to send, and how long it may take or stay idle. */
struct caller_limits {
    /** @brief Maximum size of the header of a request, in bytes; none if not configured. */
    std::optional<std::uint64_t> max_header_bytes;
    /** @brief Maximum size of the body of a request, in bytes; none if not configured. */
    std::optional<std::uint64_t> max_body_bytes;
    /** @brief Maximum time to send the header of a request; none if not configured. */
    std::optional<std::chrono::milliseconds> header_timeout;
    /** @brief Maximum idle time of a persistent connection; none if not configured. */
    std::optional<std::chrono::milliseconds> idle_timeout;

    [[nodiscard]] friend bool operator==(const caller_limits&, const caller_limits&) = default;
};

} // namespace savorywheel

#endif
