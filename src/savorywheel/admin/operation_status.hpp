#ifndef SAVORYWHEEL_ADMIN_OPERATION_STATUS_HPP
#define SAVORYWHEEL_ADMIN_OPERATION_STATUS_HPP

#include <cstdint>
#include <string_view>

namespace savorywheel {

/** @brief What became of an operation. */
enum class operation_status : std::uint8_t {
    accepted, /**< Its commit is in the log. */
    refused,  /**< Its commit is not in the log, nor will it be. */
    unknown   /**< Its commit may be in the log; settling finds out. */
};

/** @return The status in words. */
[[nodiscard]] std::string_view to_string(operation_status status) noexcept;

} // namespace savorywheel

#endif
