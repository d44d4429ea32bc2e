#ifndef SAVORYWHEEL_ADMIN_OPERATION_STATUS_HPP
#define SAVORYWHEEL_ADMIN_OPERATION_STATUS_HPP

#include <cstdint>
#include <string_view>

namespace savorywheel {

/** @brief Outcome of an operation. */
enum class operation_status : std::uint8_t {
    accepted, /**< Its commit is in the log. */
    refused,  /**< Its commit is not in the log and never will be. */
    unknown   /**< Its commit may be in the log; settling determines it. */
};

/** @return Name of the status as used in reports. */
[[nodiscard]] std::string_view to_string(operation_status status) noexcept;

} // namespace savorywheel

#endif
