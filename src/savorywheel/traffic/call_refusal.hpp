#ifndef SAVORYWHEEL_TRAFFIC_CALL_REFUSAL_HPP
#define SAVORYWHEEL_TRAFFIC_CALL_REFUSAL_HPP

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace savorywheel {

/** @brief Why a call was not run. */
enum class call_refusal : std::uint8_t {
    none,          /**< It was not refused. */
    absent,        /**< There is no backend server, or it does not accept connections. */
    leaving,       /**< The backend server takes no new work. */
    wrong_version, /**< The backend server runs another service or version. */
    overload,      /**< It could not be finished before its deadline. */
    expired,       /**< Its deadline had passed. */
    crashing,      /**< The same request has crashed backend servers. */
    silent,        /**< The backend server answers none of the calls that it holds. */
    last_refusal = silent
};

/** @brief Number of values, of which the first is no refusal. */
inline constexpr std::size_t call_refusal_count =
    static_cast<std::size_t>(call_refusal::last_refusal) + 1;

/** @return One word for the refusal, as metrics label it. */
[[nodiscard]] std::string_view label_of(call_refusal refusal) noexcept;

/** @return The refusal in words. */
[[nodiscard]] std::string_view to_string(call_refusal refusal) noexcept;

} // namespace savorywheel

#endif
