#ifndef SAVORYWHEEL_HTTP_REQUEST_TARGET_HPP
#define SAVORYWHEEL_HTTP_REQUEST_TARGET_HPP

#include <savorywheel/http/http_request.hpp>

namespace savorywheel {

/**
 * @brief Replaces a target in absolute form, such as "http://a.example/x", by path and query.
 *
 * The authority of the target becomes the Host field, whatever that field was (RFC 9112, section
 * 3.2.2). Backend servers are sent the origin form, which is due to them (section 3.2.1). Targets
 * in any other form are left unchanged.
 */
void make_origin_form(http_request& request);

} // namespace savorywheel

#endif
