#ifndef SAVORYWHEEL_APPS_LOAD_REQUEST_RESULT_HPP
#define SAVORYWHEEL_APPS_LOAD_REQUEST_RESULT_HPP

#include <savorywheel/core/outcome.hpp>
#include <savorywheel/http/http_response.hpp>

#include <array>
#include <cstdint>
#include <string_view>

namespace savorywheel::load {

/** @brief What became of a request, as its caller sees it. */
enum class request_result : std::uint8_t {
    answered,     /**< A status below 400. */
    client_error, /**< A status from 400 to 499. */
    server_error, /**< A status from 500 on, from the backend server. */
    not_run,      /**< The mesh says that no backend server ran it. */
    unknown,      /**< The mesh cannot say whether it ran, or the answer was cut. */
    timeout,      /**< The deadline passed. */
    refused       /**< The connection was refused. */
};

/** @brief All verdicts, in the order of reports. */
inline constexpr std::array all_request_results{
    request_result::answered, request_result::client_error, request_result::server_error,
    request_result::not_run,  request_result::unknown,      request_result::timeout,
    request_result::refused};

/** @return The verdict on what an HTTP client returned. */
[[nodiscard]] request_result classify_response(const outcome<http_response>& response);

/** @return The verdict's name in lower case. */
[[nodiscard]] std::string_view to_string(request_result result) noexcept;

} // namespace savorywheel::load

#endif
