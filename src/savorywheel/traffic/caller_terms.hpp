#ifndef SAVORYWHEEL_TRAFFIC_CALLER_TERMS_HPP
#define SAVORYWHEEL_TRAFFIC_CALLER_TERMS_HPP

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace savorywheel {

/** @brief Options of a request that its caller states in header fields. */
struct caller_terms {
    /** @brief Request id in logs; empty if the caller sent none. */
    std::string request_id;
    /** @brief The caller's timeout, if stated. */
    std::optional<std::chrono::milliseconds> patience;
};

/**
 * @brief Parses the timeout of a request.
 * @param text Timeout in whole milliseconds.
 * @return The timeout; std::nullopt if the text is not a positive integer.
 */
[[nodiscard]] std::optional<std::chrono::milliseconds>
read_patience(std::string_view text) noexcept;

} // namespace savorywheel

#endif
