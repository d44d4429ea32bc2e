#ifndef SAVORYWHEEL_TRAFFIC_REQUEST_OPTIONS_HPP
#define SAVORYWHEEL_TRAFFIC_REQUEST_OPTIONS_HPP

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace savorywheel {

/** @brief Options of a request that its caller states in header fields. */
struct request_options {
    /** @brief Request id in logs; empty if the caller sent none. */
    std::string request_id;
    /** @brief The caller's timeout, if stated. */
    std::optional<std::chrono::milliseconds> timeout;
    /** @brief API key, if stated; refers to a header field of the request. */
    std::optional<std::string_view> key;
};

/**
 * @brief Parses the timeout of a request.
 * @param text Timeout in whole milliseconds.
 * @return The timeout; std::nullopt if the text is not a positive integer.
 */
[[nodiscard]] std::optional<std::chrono::milliseconds>
parse_timeout(std::string_view text) noexcept;

} // namespace savorywheel

#endif
