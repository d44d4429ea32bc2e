#ifndef SAVORYWHEEL_HTTP_HTTP_HEADER_HPP
#define SAVORYWHEEL_HTTP_HTTP_HEADER_HPP

#include <span>
#include <string>
#include <string_view>

namespace savorywheel {

/** @brief One header field of an HTTP message. */
struct http_header {
    /** @brief Field name; its case does not matter. */
    std::string name;
    /** @brief Field value. */
    std::string value;

    /** @brief Compares both members. */
    [[nodiscard]] friend bool operator==(const http_header&, const http_header&) = default;
};

/** @return True if the texts differ at most in the case of ASCII letters. */
[[nodiscard]] bool equal_ignoring_case(std::string_view left, std::string_view right) noexcept;

/** @return The value of the first field of that name; empty if there is none. */
[[nodiscard]] std::string_view find_header(std::span<const http_header> headers,
                                           std::string_view name) noexcept;

} // namespace savorywheel

#endif
