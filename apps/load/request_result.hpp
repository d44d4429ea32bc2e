#ifndef SAVORYWHEEL_APPS_LOAD_REQUEST_RESULT_HPP
#define SAVORYWHEEL_APPS_LOAD_REQUEST_RESULT_HPP

#include <savorywheel/core/outcome.hpp>
#include <savorywheel/http/http_response.hpp>

#include <array>
#include <cstdint>
#include <string_view>

namespace savorywheel::load {

/** @brief Result of a request as seen by its caller. */
enum class request_result : std::uint8_t {
    answered,     /**< Status below 400. */
    client_error, /**< Status 400 to 499. */
    server_error, /**< Status 500 or above from the backend server. */
    not_run,      /**< The mesh reported that no backend server ran the request. */
    unknown,      /**< The mesh does not know whether it ran, or the response was cut off. */
    timeout,      /**< No response within the load plan's deadline. */
    refused       /**< The connection was refused. */
};

/** @brief All results, in report order. */
inline constexpr std::array all_request_results{
    request_result::answered, request_result::client_error, request_result::server_error,
    request_result::not_run,  request_result::unknown,      request_result::timeout,
    request_result::refused};

/** @return Result of a response or of a failed HTTP request. */
[[nodiscard]] request_result classify_response(const outcome<http_response>& response);

/** @return Name of the result, as used in the names of measured values. */
[[nodiscard]] std::string_view to_string(request_result result) noexcept;

} // namespace savorywheel::load

#endif
