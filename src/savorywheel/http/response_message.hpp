#ifndef SAVORYWHEEL_HTTP_RESPONSE_MESSAGE_HPP
#define SAVORYWHEEL_HTTP_RESPONSE_MESSAGE_HPP

#include <savorywheel/http/http_response.hpp>
#include <savorywheel/http/response_conditions.hpp>

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

namespace savorywheel {

/** @brief Response in the form that Boost.Beast writes. */
using response_message = boost::beast::http::response<boost::beast::http::string_body>;

/**
 * @return The response with its length; fields that are not valid in HTTP are left out, and a
 * response that cannot be represented becomes one with status 502.
 * @warning Include only in source files of this module; the header exposes Boost.Beast.
 */
[[nodiscard]] response_message make_message(http_response response,
                                            const response_conditions& conditions);

} // namespace savorywheel

#endif
