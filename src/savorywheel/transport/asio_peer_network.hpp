#ifndef SAVORYWHEEL_TRANSPORT_ASIO_PEER_NETWORK_HPP
#define SAVORYWHEEL_TRANSPORT_ASIO_PEER_NETWORK_HPP

#include <savorywheel/core/outcome.hpp>
#include <savorywheel/io/io_loop.hpp>
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
 * By default the network has a thread of its own.
 */
class asio_peer_network final : public peer_network {
public:
    /**
     * @param handler Called on the stream thread for each frame; must outlive the network.
     * @param meter Notified of every frame; must outlive the network.
     */
    explicit asio_peer_network(frame_handler& handler,
                               byte_meter& meter = null_byte_meter::instance());

    /**
     * @brief As above, on a loop that other parts use, too; start() does not start it.
     * @param loop Its thread is the stream thread; must outlive the network, and run until stop().
     */
    asio_peer_network(frame_handler& handler, byte_meter& meter, io_loop& loop);
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

    /** @brief Flushes queued frames, closes all connections and waits for their end. */
    void stop();

    [[nodiscard]] std::shared_ptr<frame_sink> connection_to(const network_endpoint& peer) override;

private:
    class impl;
    struct own_loop;

    std::unique_ptr<own_loop> own_loop_;
    std::shared_ptr<impl> impl_;
};

} // namespace savorywheel

#endif
