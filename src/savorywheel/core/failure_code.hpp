#ifndef SAVORYWHEEL_CORE_FAILURE_CODE_HPP
#define SAVORYWHEEL_CORE_FAILURE_CODE_HPP

#include <cstdint>
#include <string_view>

namespace savorywheel {

/** @brief Kind of a failure, for decisions of the caller. */
enum class failure_code : std::uint8_t {
    none,             /**< No failure. */
    invalid_argument, /**< The input breaks a documented rule. */
    not_found,        /**< The named thing does not exist. */
    conflict,         /**< A conditional update found another state. */
    unavailable,      /**< The other end refused, or could not be reached; nothing was done. */
    unknown_outcome,  /**< The answer was lost; the operation may have been done. */
    timeout,          /**< The deadline passed. */
    permission,       /**< The caller may not do this. */
    overload,         /**< A limit refused the operation; nothing was done. */
    malformed         /**< A message could not be decoded. */
};

/** @return The code's name in lower case, for messages. */
[[nodiscard]] std::string_view to_string(failure_code code) noexcept;

} // namespace savorywheel

#endif
