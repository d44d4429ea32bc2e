#ifndef SAVORYWHEEL_NODE_FRONT_END_HPP
#define SAVORYWHEEL_NODE_FRONT_END_HPP

#include <savorywheel/admin/node_control.hpp>
#include <savorywheel/distribution/configuration_decoder.hpp>
#include <savorywheel/distribution/order_codec.hpp>
#include <savorywheel/http/http_client.hpp>
#include <savorywheel/http/http_handler.hpp>
#include <savorywheel/log/event_log.hpp>
#include <savorywheel/settings/node_settings.hpp>
#include <savorywheel/store/object_store.hpp>
#include <savorywheel/traffic/caller_header_codec.hpp>
#include <savorywheel/traffic/server_header_codec.hpp>

#include <memory>

namespace savorywheel {

/** @brief Factory of the external interfaces of a node; control decisions do not depend on it. */
class front_end {
public:
    front_end() = default;
    front_end(const front_end&) = delete;
    front_end& operator=(const front_end&) = delete;
    front_end(front_end&&) = delete;
    front_end& operator=(front_end&&) = delete;
    virtual ~front_end() = default;

    /** @return Encoding of request metadata exchanged with callers. */
    [[nodiscard]] virtual const caller_header_codec& callers() const noexcept = 0;

    /** @return Encoding of request metadata exchanged with backend servers. */
    [[nodiscard]] virtual const server_header_codec& servers() const noexcept = 0;

    /**
     * @brief Creates the client of the platform's object store.
     * @param client Sends the requests; must outlive the result.
     * @param server Endpoint of the object store.
     * @param log Receives objects that cannot be read; must outlive the result.
     */
    [[nodiscard]] virtual std::unique_ptr<object_store>
    make_store(http_client& client, const network_endpoint& server, event_log& log) const = 0;

    /**
     * @return Decoder of the operators' configuration in the object store; nullptr if the mesh is
     * configured through its own ordered log.
     */
    [[nodiscard]] virtual const configuration_decoder* configuration() const noexcept = 0;

    /** @return Codec of the operators' rollout orders; nullptr with the ordered log. */
    [[nodiscard]] virtual const order_codec* orders() const noexcept = 0;

    /**
     * @brief Creates the handler of the announcement endpoint.
     * @param control Receives the announcements; must outlive the result.
     * @param log Receives invalid announcements; must outlive the result.
     * @return nullptr if backend servers announce themselves at the admin endpoint.
     */
    [[nodiscard]] virtual std::unique_ptr<http_handler>
    make_announcement_handler(node_control& control, event_log& log) const = 0;
};

} // namespace savorywheel

#endif
