#ifndef SAVORYWHEEL_HTTP_REQUEST_TARGET_HPP
#define SAVORYWHEEL_HTTP_REQUEST_TARGET_HPP

#include <string>
#include <string_view>

namespace savorywheel {

/** @brief Target of a request in origin form, with the authority of an absolute form. */
struct request_target {
    /** @brief Host and port of an absolute form; empty for the other forms. */
    std::string authority;
    /** @brief Path and query, without decoding. */
    std::string origin_form;
};

/**
 * @brief Converts the absolute form of a target (RFC 9112, 3.2.2); keeps other forms as they are.
 * @param target Target of the request line.
 */
[[nodiscard]] request_target parse_request_target(std::string_view target);

} // namespace savorywheel

#endif
