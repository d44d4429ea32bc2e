#ifndef SAVORYWHEEL_TRAFFIC_DEFAULT_CALLER_HEADER_CODEC_HPP
#define SAVORYWHEEL_TRAFFIC_DEFAULT_CALLER_HEADER_CODEC_HPP

#include <savorywheel/traffic/caller_header_codec.hpp>

namespace savorywheel {

/** @brief Built-in header fields between callers and the mesh. */
class default_caller_header_codec final : public caller_header_codec {
public:
    [[nodiscard]] request_options read(const http_request& request) const override;
    void rewrite_headers(http_request& request) const override;
    void set_tenant(http_request& request, const tenant_name& tenant) const override;
    [[nodiscard]] http_response reject(const rejection& cause) const override;
};

} // namespace savorywheel

#endif
