#ifndef SAVORYWHEEL_HTTP_BODY_CHECK_HPP
#define SAVORYWHEEL_HTTP_BODY_CHECK_HPP

#include <savorywheel/http/body_verdict.hpp>
#include <savorywheel/http/http_request.hpp>

#include <cstddef>

namespace savorywheel {

/**
 * @brief Compares the received body of a request with the fields that give its length.
 * @param request Request; a body larger than max_buffered_bytes is cut behind the limit.
 * @param max_bytes Maximum size of a body that callers may send.
 * @param max_buffered_bytes Maximum size of a body that is held in memory.
 */
[[nodiscard]] body_verdict check_body(const http_request& request, std::size_t max_bytes,
                                      std::size_t max_buffered_bytes);

} // namespace savorywheel

#endif
