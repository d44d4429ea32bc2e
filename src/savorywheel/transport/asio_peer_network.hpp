#ifndef SAVORYWHEEL_TRANSPORT_ASIO_PEER_NETWORK_HPP
#define SAVORYWHEEL_TRANSPORT_ASIO_PEER_NETWORK_HPP

#include <savorywheel/core/outcome.hpp>
#include <savorywheel/transport/byte_meter.hpp>
#include <savorywheel/transport/frame_handler.hpp>
#include <savorywheel/transport/null_byte_meter.hpp>
#include <savorywheel/transport/peer_network.hpp>

#include <memory>

namespace savorywheel {

/**
 * @brief TCP on Boost.Asio: a listener and one outgoing connection per peer.
 *
 * One I/O thread, the stream thread, serves all connections.
 */
class asio_peer_network final : public peer_network {
public:
    /**
     * @param handler Called on the stream thread for each frame; must outlive the network.
     * @param meter Notified of every frame; must outlive the network.
     */
    explicit asio_peer_network(frame_handler& handler,
                               byte_meter& meter = null_byte_meter::instance());
    asio_peer_network(const asio_peer_network&) = delete;
    asio_peer_network& operator=(const asio_peer_network&) = delete;
    asio_peer_network(asio_peer_network&&) = delete;
    asio_peer_network& operator=(asio_peer_network&&) = delete;
    ~asio_peer_network() override;

    /**
     * @brief Listens and starts the stream thread.
     * @param local Endpoint to listen on.
     * @return Failure with code `unavailable` if the endpoint cannot be bound; true otherwise.
     */
    [[nodiscard]] outcome<bool> start(const network_endpoint& local);

    /** @brief Flushes queued frames, closes all connections and joins the stream thread. */
    void stop();

    [[nodiscard]] std::shared_ptr<frame_sink> connection_to(const network_endpoint& peer) override;

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

} // namespace savorywheel

#endif
