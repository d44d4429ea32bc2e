#ifndef SAVORYWHEEL_TRAFFIC_CALLER_HEADER_CODEC_HPP
#define SAVORYWHEEL_TRAFFIC_CALLER_HEADER_CODEC_HPP

#include <savorywheel/core/names.hpp>
#include <savorywheel/http/http_request.hpp>
#include <savorywheel/http/http_response.hpp>
#include <savorywheel/traffic/rejection.hpp>
#include <savorywheel/traffic/request_options.hpp>

namespace savorywheel {

/** @brief Reads and writes the header fields between callers and the mesh. */
class caller_header_codec {
public:
    caller_header_codec() = default;
    caller_header_codec(const caller_header_codec&) = delete;
    caller_header_codec& operator=(const caller_header_codec&) = delete;
    caller_header_codec(caller_header_codec&&) = delete;
    caller_header_codec& operator=(caller_header_codec&&) = delete;
    virtual ~caller_header_codec() = default;

    /** @return The options that the header fields of the request state. */
    [[nodiscard]] virtual request_options read(const http_request& request) const = 0;

    /** @brief Removes the fields addressed to the mesh and adds those that the mesh guarantees. */
    virtual void rewrite_headers(http_request& request) const = 0;

    /**
     * @brief Removes the API key and the tenant that the caller stated, and states the tenant.
     *
     * Only called if the configuration has tenants.
     * @param request Request of a caller.
     * @param tenant Tenant that holds the request's key; empty if it has none.
     */
    virtual void set_tenant(http_request& request, const tenant_name& tenant) const = 0;

    /** @return The HTTP response for a rejected request. */
    [[nodiscard]] virtual http_response reject(const rejection& cause) const = 0;
};

} // namespace savorywheel

#endif
