#ifndef SAVORYWHEEL_APPS_LOAD_CALL_VERDICT_HPP
#define SAVORYWHEEL_APPS_LOAD_CALL_VERDICT_HPP

#include <savorywheel/core/outcome.hpp>
#include <savorywheel/http/http_response.hpp>

#include <array>
#include <cstdint>
#include <string_view>

namespace savorywheel::load {

/** @brief Result of a request as seen by its caller. */
enum class call_verdict : std::uint8_t {
    answered,     /**< Status below 400. */
    client_error, /**< Status 400 to 499. */
    server_error, /**< Status 500 or above from the backend server. */
    not_run,      /**< The mesh reported that no backend server ran the request. */
    unknown,      /**< The mesh does not know whether it ran, or the response was cut off. */
    timeout,      /**< The deadline expired. */
    refused       /**< The connection was refused. */
};

/** @brief All results, in report order. */
inline constexpr std::array all_call_verdicts{
    call_verdict::answered, call_verdict::client_error, call_verdict::server_error,
    call_verdict::not_run,  call_verdict::unknown,      call_verdict::timeout,
    call_verdict::refused};

/** @return Result of a response or of a failed HTTP request. */
[[nodiscard]] call_verdict verdict_of(const outcome<http_response>& answer);

/** @return Name of the result, as used in the names of figures. */
[[nodiscard]] std::string_view to_string(call_verdict verdict) noexcept;

} // namespace savorywheel::load

#endif
