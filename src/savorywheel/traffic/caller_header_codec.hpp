#ifndef SAVORYWHEEL_TRAFFIC_CALLER_HEADER_CODEC_HPP
#define SAVORYWHEEL_TRAFFIC_CALLER_HEADER_CODEC_HPP

#include <savorywheel/http/http_request.hpp>
#include <savorywheel/http/http_response.hpp>
#include <savorywheel/traffic/rejection.hpp>
#include <savorywheel/traffic/request_options.hpp>

namespace savorywheel {

/** @brief Header fields by which callers and the mesh speak about a request. */
class caller_header_codec {
public:
    caller_header_codec() = default;
    caller_header_codec(const caller_header_codec&) = delete;
    caller_header_codec& operator=(const caller_header_codec&) = delete;
    caller_header_codec(caller_header_codec&&) = delete;
    caller_header_codec& operator=(caller_header_codec&&) = delete;
    virtual ~caller_header_codec() = default;

    /** @return What the caller says about its request. */
    [[nodiscard]] virtual request_options read(const http_request& request) const = 0;

    /** @brief Replaces the fields that are only for the mesh by those that the mesh vouches for. */
    virtual void rewrite_headers(http_request& request) const = 0;

    /** @return The answer that tells the caller of a rejection. */
    [[nodiscard]] virtual http_response reject(const rejection& cause) const = 0;
};

} // namespace savorywheel

#endif
