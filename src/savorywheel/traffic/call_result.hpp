#ifndef SAVORYWHEEL_TRAFFIC_CALL_RESULT_HPP
#define SAVORYWHEEL_TRAFFIC_CALL_RESULT_HPP

#include <cstdint>
#include <string_view>

namespace savorywheel {

/** @brief Result of a call with respect to its execution. */
enum class call_result : std::uint8_t {
    answered, /**< The backend server sent a complete response. */
    not_run,  /**< No backend server has run the call or will run it. */
    unknown,  /**< The call may have been run, without a complete response. */
    last_result = unknown
};

/** @return The name of the result, as used in responses and logs. */
[[nodiscard]] std::string_view to_string(call_result result) noexcept;

} // namespace savorywheel

#endif
