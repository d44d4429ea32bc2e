#ifndef SAVORYWHEEL_ADMIN_ADMIN_RESPONSE_HPP
#define SAVORYWHEEL_ADMIN_ADMIN_RESPONSE_HPP

#include <savorywheel/admin/admin_status.hpp>
#include <savorywheel/core/failure.hpp>
#include <savorywheel/http/http_response.hpp>

#include <string>

namespace savorywheel {

/** @return A response of plain text. */
[[nodiscard]] http_response make_text_response(admin_status status, std::string body);

/** @return A response of a JSON object. */
[[nodiscard]] http_response make_json_response(admin_status status, std::string body);

/** @return A response that tells why there is no answer. */
[[nodiscard]] http_response make_failure_response(const failure& reason);

} // namespace savorywheel

#endif
