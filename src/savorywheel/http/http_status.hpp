#ifndef SAVORYWHEEL_HTTP_HTTP_STATUS_HPP
#define SAVORYWHEEL_HTTP_HTTP_STATUS_HPP

namespace savorywheel {

// HTTP status codes that the mesh sends or handles specially (RFC 9110, RFC 6585).
inline constexpr int status_ok = 200;
inline constexpr int status_created = 201;
inline constexpr int status_no_content = 204;
inline constexpr int status_not_modified = 304;
inline constexpr int status_bad_request = 400;
inline constexpr int status_unauthorized = 401;
inline constexpr int status_not_found = 404;
inline constexpr int status_request_timeout = 408;
inline constexpr int status_conflict = 409;
inline constexpr int status_gone = 410;
inline constexpr int status_precondition_failed = 412;
inline constexpr int status_payload_too_large = 413;
inline constexpr int status_misdirected = 421;
inline constexpr int status_too_many_requests = 429;
inline constexpr int status_header_too_large = 431;
inline constexpr int status_internal_error = 500;
inline constexpr int status_bad_gateway = 502;
inline constexpr int status_unavailable = 503;
inline constexpr int status_gateway_timeout = 504;

/** @return True for the status codes 200 to 299. */
[[nodiscard]] constexpr bool is_success(int status) noexcept
{
    return status >= status_ok && status < 300;
}

} // namespace savorywheel

#endif
