#ifndef SAVORYWHEEL_TRAFFIC_SERVER_HEADER_CODEC_HPP
#define SAVORYWHEEL_TRAFFIC_SERVER_HEADER_CODEC_HPP

#include <savorywheel/http/http_request.hpp>
#include <savorywheel/http/http_response.hpp>
#include <savorywheel/http/response_framing.hpp>
#include <savorywheel/traffic/backend_server.hpp>
#include <savorywheel/traffic/response_verdict.hpp>

#include <chrono>

namespace savorywheel {

/** @brief Header fields by which the mesh and backend servers speak about a request. */
class server_header_codec {
public:
    server_header_codec() = default;
    server_header_codec(const server_header_codec&) = delete;
    server_header_codec& operator=(const server_header_codec&) = delete;
    server_header_codec(server_header_codec&&) = delete;
    server_header_codec& operator=(server_header_codec&&) = delete;
    virtual ~server_header_codec() = default;

    /**
     * @brief Adds the fields for a backend server.
     * @param request The request.
     * @param backend The backend server that is to run it.
     * @param remaining Time left until the deadline.
     */
    virtual void add_headers(http_request& request, const backend_server& backend,
                             std::chrono::milliseconds remaining) const = 0;

    /** @return What an answer says about the request that was sent. */
    [[nodiscard]] virtual response_verdict verify(const http_request& request,
                                                  const http_response& response) const = 0;

    /** @return What makes an answer of a backend server whole. */
    [[nodiscard]] virtual response_framing completeness_rule() const noexcept
    {
        return response_framing::explicit_only;
    }
};

} // namespace savorywheel

#endif
