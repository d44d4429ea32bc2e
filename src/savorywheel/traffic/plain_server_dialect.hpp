#ifndef SAVORYWHEEL_TRAFFIC_PLAIN_SERVER_DIALECT_HPP
#define SAVORYWHEEL_TRAFFIC_PLAIN_SERVER_DIALECT_HPP

#include <savorywheel/traffic/server_dialect.hpp>

namespace savorywheel {

/** @brief Built-in header fields between the mesh and backend servers. */
class plain_server_dialect final : public server_dialect {
public:
    void address(http_request& request, const backend_server& backend,
                 std::chrono::milliseconds remaining) const override;
    [[nodiscard]] answer_verdict judge(const http_request& request,
                                       const http_response& response) const override;
};

} // namespace savorywheel

#endif
