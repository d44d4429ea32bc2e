#ifndef SAVORYWHEEL_TRAFFIC_CALL_REFUSAL_HPP
#define SAVORYWHEEL_TRAFFIC_CALL_REFUSAL_HPP

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace savorywheel {

/** @brief Why a call was not run. */
enum class call_refusal : std::uint8_t {
    none,          /**< The call was not refused. */
    absent,        /**< There is no backend server, or it does not accept connections. */
    leaving,       /**< The backend server is draining. */
    wrong_version, /**< The backend server runs another service or version. */
    overload,      /**< The call is not expected to finish in time. */
    expired,       /**< The deadline has passed. */
    crashing,      /**< The same request has crashed backend servers. */
    silent,        /**< The backend server responds to none of its calls in flight. */
    last_refusal = silent
};

/** @brief Number of enumerators, including none. */
inline constexpr std::size_t call_refusal_count =
    static_cast<std::size_t>(call_refusal::last_refusal) + 1;

/** @return Label value of the refusal in metrics. */
[[nodiscard]] std::string_view label_of(call_refusal refusal) noexcept;

/** @return Description of the refusal, as sent to callers. */
[[nodiscard]] std::string_view to_string(call_refusal refusal) noexcept;

} // namespace savorywheel

#endif
