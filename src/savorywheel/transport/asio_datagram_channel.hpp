#ifndef SAVORYWHEEL_TRANSPORT_ASIO_DATAGRAM_CHANNEL_HPP
#define SAVORYWHEEL_TRANSPORT_ASIO_DATAGRAM_CHANNEL_HPP

#include <savorywheel/core/outcome.hpp>
#include <savorywheel/transport/byte_meter.hpp>
#include <savorywheel/transport/datagram_channel.hpp>
#include <savorywheel/transport/datagram_handler.hpp>
#include <savorywheel/transport/null_byte_meter.hpp>

#include <memory>

namespace savorywheel {

/** @brief UDP on Boost.Asio with one receive thread. */
class asio_datagram_channel final : public datagram_channel {
public:
    /** @param meter Counts the bytes of every datagram; must outlive the channel. */
    explicit asio_datagram_channel(byte_meter& meter = null_byte_meter::instance());
    asio_datagram_channel(const asio_datagram_channel&) = delete;
    asio_datagram_channel& operator=(const asio_datagram_channel&) = delete;
    asio_datagram_channel(asio_datagram_channel&&) = delete;
    asio_datagram_channel& operator=(asio_datagram_channel&&) = delete;
    ~asio_datagram_channel() override;

    /**
     * @brief Binds the socket and starts the receive thread.
     * @param local Endpoint to receive on.
     * @param handler Called on the receive thread for each datagram.
     * @return Failure with code `unavailable` if the endpoint cannot be bound; true otherwise.
     */
    [[nodiscard]] outcome<bool> start(const network_endpoint& local, datagram_handler handler);

    /** @brief Closes the socket and joins the receive thread. */
    void stop();

    void send(const network_endpoint& peer, std::span<const std::byte> payload) override;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace savorywheel

#endif
