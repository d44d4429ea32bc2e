#ifndef SAVORYWHEEL_TRAFFIC_DEFAULT_SERVER_HEADER_CODEC_HPP
#define SAVORYWHEEL_TRAFFIC_DEFAULT_SERVER_HEADER_CODEC_HPP

#include <savorywheel/traffic/server_header_codec.hpp>

namespace savorywheel {

/** @brief Built-in header fields between the mesh and backend servers. */
class default_server_header_codec final : public server_header_codec {
public:
    void add_headers(http_request& request, const backend_server& backend,
                     std::chrono::milliseconds remaining) const override;
    [[nodiscard]] response_verdict verify(const http_request& request,
                                          const http_response& response) const override;
    /** These backend servers sign nothing and name no request; a connection is enough. */
    [[nodiscard]] response_origin origin_of(const http_request& request,
                                            const http_response& response) const override;
};

} // namespace savorywheel

#endif
