#ifndef SAVORYWHEEL_CORE_FAILURE_CODE_HPP
#define SAVORYWHEEL_CORE_FAILURE_CODE_HPP

#include <cstdint>
#include <string_view>

namespace savorywheel {

/** @brief Class of a failure, for error handling. */
enum class failure_code : std::uint8_t {
    none,             /**< No failure. */
    invalid_argument, /**< The input violates a documented rule. */
    not_found,        /**< The object does not exist. */
    conflict,         /**< The precondition of a conditional update failed. */
    unavailable,      /**< The peer refused or was unreachable; nothing was executed. */
    unknown_outcome,  /**< The response was lost; the operation may have been executed. */
    timeout,          /**< The deadline expired. */
    permission,       /**< The caller lacks permission. */
    overload,         /**< A limit was reached; nothing was executed. */
    malformed         /**< A message could not be decoded. */
};

/** @return Lower-case name of the code, for messages. */
[[nodiscard]] std::string_view to_string(failure_code code) noexcept;

} // namespace savorywheel

#endif
