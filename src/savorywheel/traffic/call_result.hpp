#ifndef SAVORYWHEEL_TRAFFIC_CALL_RESULT_HPP
#define SAVORYWHEEL_TRAFFIC_CALL_RESULT_HPP

#include <cstdint>
#include <string_view>

namespace savorywheel {

/** @brief What became of a call. */
enum class call_result : std::uint8_t {
    answered, /**< The backend server gave a whole answer. */
    not_run,  /**< No backend server has run it, nor ever will. */
    unknown,  /**< It may have been run, and there is no whole answer. */
    last_result = unknown
};

/** @return The result in words, as responses carry it. */
[[nodiscard]] std::string_view to_string(call_result result) noexcept;

} // namespace savorywheel

#endif
