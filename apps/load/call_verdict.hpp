#ifndef SAVORYWHEEL_APPS_LOAD_CALL_VERDICT_HPP
#define SAVORYWHEEL_APPS_LOAD_CALL_VERDICT_HPP

#include <savorywheel/core/outcome.hpp>
#include <savorywheel/http/http_response.hpp>

#include <array>
#include <cstdint>
#include <string_view>

namespace savorywheel::load {

/** @brief What became of a request, as its caller sees it. */
enum class call_verdict : std::uint8_t {
    answered,     /**< A status below 400. */
    client_error, /**< A status from 400 to 499. */
    server_error, /**< A status from 500 on, from the backend server. */
    not_run,      /**< The mesh says that no backend server ran it. */
    unknown,      /**< The mesh cannot say whether it ran, or the answer was cut. */
    timeout,      /**< The deadline passed. */
    refused       /**< The connection was refused. */
};

/** @brief All verdicts, in the order of reports. */
inline constexpr std::array all_call_verdicts{
    call_verdict::answered, call_verdict::client_error, call_verdict::server_error,
    call_verdict::not_run,  call_verdict::unknown,      call_verdict::timeout,
    call_verdict::refused};

/** @return The verdict on what an HTTP client returned. */
[[nodiscard]] call_verdict verdict_of(const outcome<http_response>& answer);

/** @return The verdict's name in lower case. */
[[nodiscard]] std::string_view to_string(call_verdict verdict) noexcept;

} // namespace savorywheel::load

#endif
