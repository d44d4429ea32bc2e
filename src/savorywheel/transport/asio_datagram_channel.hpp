#ifndef SAVORYWHEEL_TRANSPORT_ASIO_DATAGRAM_CHANNEL_HPP
#define SAVORYWHEEL_TRANSPORT_ASIO_DATAGRAM_CHANNEL_HPP

#include <savorywheel/core/outcome.hpp>
#include <savorywheel/transport/byte_meter.hpp>
#include <savorywheel/transport/datagram_channel.hpp>
#include <savorywheel/transport/datagram_handler.hpp>
#include <savorywheel/transport/null_byte_meter.hpp>

#include <memory>

namespace savorywheel {

/** @brief Datagrams over Boost.Asio, with one receiving thread. */
class asio_datagram_channel final : public datagram_channel {
public:
    /** @param meter Hears of all datagrams; must outlive the channel. */
    explicit asio_datagram_channel(byte_meter& meter = null_byte_meter::instance());
    asio_datagram_channel(const asio_datagram_channel&) = delete;
    asio_datagram_channel& operator=(const asio_datagram_channel&) = delete;
    asio_datagram_channel(asio_datagram_channel&&) = delete;
    asio_datagram_channel& operator=(asio_datagram_channel&&) = delete;
    ~asio_datagram_channel() override;

    /**
     * @brief Binds and starts the receiving thread.
     * @param local Endpoint to receive on.
     * @param handler Takes the datagrams.
     * @return unavailable if the endpoint cannot be bound.
     */
    [[nodiscard]] outcome<bool> start(const network_endpoint& local, datagram_handler handler);

    /** @brief Ends the receiving thread. */
    void stop();

    void send(const network_endpoint& peer, std::span<const std::byte> payload) override;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace savorywheel

#endif
