#ifndef SAVORYWHEEL_TRAFFIC_REQUEST_OPTIONS_HPP
#define SAVORYWHEEL_TRAFFIC_REQUEST_OPTIONS_HPP

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace savorywheel {

/** @brief What a caller says about its request. */
struct request_options {
    /** @brief Names the request in logs; empty if the caller gave no id. */
    std::string request_id;
    /** @brief How long the caller waits for the answer, if it says so. */
    std::optional<std::chrono::milliseconds> timeout;
};

/**
 * @brief Reads how long a caller waits.
 * @param text Whole milliseconds.
 * @return Nothing if it is no number above zero.
 */
[[nodiscard]] std::optional<std::chrono::milliseconds>
parse_timeout(std::string_view text) noexcept;

} // namespace savorywheel

#endif
