#ifndef SAVORYWHEEL_TRAFFIC_SERVER_HEADER_CODEC_HPP
#define SAVORYWHEEL_TRAFFIC_SERVER_HEADER_CODEC_HPP

#include <savorywheel/http/http_request.hpp>
#include <savorywheel/http/http_response.hpp>
#include <savorywheel/http/response_framing.hpp>
#include <savorywheel/traffic/backend_server.hpp>
#include <savorywheel/traffic/response_origin.hpp>
#include <savorywheel/traffic/response_verdict.hpp>

#include <chrono>

namespace savorywheel {

/** @brief Reads and writes the header fields between the mesh and backend servers. */
class server_header_codec {
public:
    server_header_codec() = default;
    server_header_codec(const server_header_codec&) = delete;
    server_header_codec& operator=(const server_header_codec&) = delete;
    server_header_codec(server_header_codec&&) = delete;
    server_header_codec& operator=(server_header_codec&&) = delete;
    virtual ~server_header_codec() = default;

    /**
     * @brief Adds the header fields for a backend server to a request.
     * @param request Request to extend.
     * @param backend Backend server that the request is sent to.
     * @param remaining Time until the deadline.
     */
    virtual void add_headers(http_request& request, const backend_server& backend,
                             std::chrono::milliseconds remaining) const = 0;

    /** @return Whether the response is complete and belongs to the request. */
    [[nodiscard]] virtual response_verdict verify(const http_request& request,
                                                  const http_response& response) const = 0;

    /** @return What the response shows about where it comes from. */
    [[nodiscard]] virtual response_origin origin_of(const http_request& request,
                                                    const http_response& response) const = 0;

    /** @return How the end of a complete response of a backend server is recognized. */
    [[nodiscard]] virtual response_framing completeness_rule() const noexcept
    {
        return response_framing::explicit_only;
    }
};

} // namespace savorywheel

#endif
