#ifndef SAVORYWHEEL_NODE_FRONT_END_HPP
#define SAVORYWHEEL_NODE_FRONT_END_HPP

#include <savorywheel/admin/node_control.hpp>
#include <savorywheel/distribution/configuration_decoder.hpp>
#include <savorywheel/distribution/order_codec.hpp>
#include <savorywheel/http/http_client.hpp>
#include <savorywheel/http/http_handler.hpp>
#include <savorywheel/settings/node_settings.hpp>
#include <savorywheel/store/object_store.hpp>
#include <savorywheel/traffic/caller_header_codec.hpp>
#include <savorywheel/traffic/server_header_codec.hpp>

#include <memory>

namespace savorywheel {

/** @brief What a node speaks with its surroundings; decisions are the same behind each of them. */
class front_end {
public:
    front_end() = default;
    front_end(const front_end&) = delete;
    front_end& operator=(const front_end&) = delete;
    front_end(front_end&&) = delete;
    front_end& operator=(front_end&&) = delete;
    virtual ~front_end() = default;

    /** @return How callers speak about their requests. */
    [[nodiscard]] virtual const caller_header_codec& callers() const noexcept = 0;

    /** @return How backend servers speak about requests. */
    [[nodiscard]] virtual const server_header_codec& servers() const noexcept = 0;

    /**
     * @brief Makes the client of the platform's service.
     * @param client Sends its requests; outlives it.
     * @param server Endpoint of the service.
     */
    [[nodiscard]] virtual std::unique_ptr<object_store>
    make_store(http_client& client, const network_endpoint& server) const = 0;

    /**
     * @return Reads the operators' object in the platform's service; nullptr if the configuration
     * is the mesh's own ordered log.
     */
    [[nodiscard]] virtual const configuration_decoder* configuration() const noexcept = 0;

    /** @return Reads operators' rollout orders; nullptr if the configuration is the log. */
    [[nodiscard]] virtual const order_codec* orders() const noexcept = 0;

    /**
     * @brief Makes what takes announcements at an endpoint of their own.
     * @param control The node; outlives it.
     * @return nullptr if backend servers announce themselves at the admin endpoint.
     */
    [[nodiscard]] virtual std::unique_ptr<http_handler>
    make_announcement_handler(node_control& control) const = 0;
};

} // namespace savorywheel

#endif
