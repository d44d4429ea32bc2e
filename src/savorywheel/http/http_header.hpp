#ifndef SAVORYWHEEL_HTTP_HTTP_HEADER_HPP
#define SAVORYWHEEL_HTTP_HTTP_HEADER_HPP

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace savorywheel {

/** @brief Header field of an HTTP message. */
struct http_header {
    /** @brief Case-insensitive field name. */
    std::string name;
    std::string value;

    /** @brief Case-sensitive, also for the names. */
    [[nodiscard]] friend bool operator==(const http_header&, const http_header&) = default;
};

/** @return True if the strings are equal up to the case of ASCII letters. */
[[nodiscard]] bool equal_ignoring_case(std::string_view left, std::string_view right) noexcept;

/** @return Value of the first field with that name; empty if there is none. */
[[nodiscard]] std::string_view find_header(std::span<const http_header> headers,
                                           std::string_view name) noexcept;

/** @return Value of the first field with that name; std::nullopt if there is none. */
[[nodiscard]] std::optional<std::string_view>
find_header_value(std::span<const http_header> headers, std::string_view name) noexcept;

/** @brief Removes all fields with a name, and adds one unless the value is empty. */
void replace_header(std::vector<http_header>& headers, std::string_view name,
                    std::string_view value);

} // namespace savorywheel

#endif
