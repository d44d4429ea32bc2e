#ifndef SAVORYWHEEL_HTTP_OVERSIZED_LENGTH_HPP
#define SAVORYWHEEL_HTTP_OVERSIZED_LENGTH_HPP

#include <string_view>

namespace savorywheel {

/**
 * @brief Tells a body that is too long for any server from a length that is no number.
 * @param header Request line and fields of a request whose Content-Length the parser rejected.
 * @return True if the first Content-Length is a number beyond 64 bits.
 */
[[nodiscard]] bool has_oversized_length(std::string_view header) noexcept;

} // namespace savorywheel

#endif
