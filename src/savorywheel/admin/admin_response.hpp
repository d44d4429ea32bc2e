#ifndef SAVORYWHEEL_ADMIN_ADMIN_RESPONSE_HPP
#define SAVORYWHEEL_ADMIN_ADMIN_RESPONSE_HPP

#include <savorywheel/admin/admin_status.hpp>
#include <savorywheel/core/failure.hpp>
#include <savorywheel/http/http_response.hpp>

#include <string>

namespace savorywheel {

/** @brief Creates a plain-text response. */
[[nodiscard]] http_response make_text_response(admin_status status, std::string body);

/** @brief Creates a JSON response. */
[[nodiscard]] http_response make_json_response(admin_status status, std::string body);

/** @brief Maps a failure to a status code and responds with its message. */
[[nodiscard]] http_response make_failure_response(const failure& reason);

} // namespace savorywheel

#endif
