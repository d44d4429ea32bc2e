#include <savorywheel/core/thread_name.hpp>
#include <savorywheel/transport/asio_datagram_channel.hpp>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/post.hpp>

#include <array>
#include <thread>
#include <utility>

namespace savorywheel {

namespace {

namespace asio = boost::asio;
using boost::system::error_code;

constexpr std::size_t receive_buffer_bytes = 65536;

} // namespace

/** Keeps the Boost.Asio types out of the header. */
class asio_datagram_channel::impl {
public:
    explicit impl(byte_meter& meter) : meter_{meter}, socket_{context_} {}

    outcome<bool> start(const network_endpoint& local, datagram_handler handler)
    {
        handler_ = std::move(handler);
        error_code error;
        const asio::ip::udp::endpoint endpoint{asio::ip::make_address(local.address, error),
                                               local.port};
        if (!error) {
            socket_.open(endpoint.protocol(), error);
        }
        if (!error) {
            socket_.bind(endpoint, error);
        }
        if (error) {
            return failure{failure_code::unavailable,
                           "cannot bind " + to_string(local) + ": " + error.message()};
        }
        socket_.non_blocking(true, error);
        receive_next();
        thread_ = std::thread{[this] {
            set_thread_name("datagrams");
            context_.run();
        }};
        return true;
    }

    void stop()
    {
        if (!thread_.joinable()) {
            return;
        }
        asio::post(context_, [this] {
            error_code ignored;
            socket_.close(ignored);
        });
        thread_.join();
    }

    void send(const network_endpoint& peer, std::span<const std::byte> payload)
    {
        error_code error;
        const auto address = asio::ip::make_address(peer.address, error);
        if (!error) {
            socket_.send_to(asio::buffer(payload.data(), payload.size()), {address, peer.port}, 0,
                            error);
            meter_.on_sent(peer.address, traffic_class::probe, payload.size());
        }
    }

private:
    void receive_next()
    {
        socket_.async_receive_from(asio::buffer(buffer_), sender_,
                                   [this](const error_code& error, std::size_t size) {
                                       if (!socket_.is_open()) {
                                           return;
                                       }
                                       if (!error) {
                                           deliver(size);
                                       }
                                       receive_next();
                                   });
    }

    void deliver(std::size_t size)
    {
        const network_endpoint sender{sender_.address().to_string(), sender_.port()};
        meter_.on_received(sender.address, traffic_class::probe, size);
        handler_(sender, std::span{buffer_}.first(size));
    }

    byte_meter& meter_;
    asio::io_context context_;
    asio::ip::udp::socket socket_;
    asio::ip::udp::endpoint sender_;
    std::array<std::byte, receive_buffer_bytes> buffer_{};
    datagram_handler handler_;
    std::thread thread_;
};

asio_datagram_channel::asio_datagram_channel(byte_meter& meter)
    : impl_{std::make_unique<impl>(meter)}
{
}

asio_datagram_channel::~asio_datagram_channel()
{
    stop();
}

outcome<bool> asio_datagram_channel::start(const network_endpoint& local, datagram_handler handler)
{
    return impl_->start(local, std::move(handler));
}

void asio_datagram_channel::stop()
{
    impl_->stop();
}

void asio_datagram_channel::send(const network_endpoint& peer, std::span<const std::byte> payload)
{
    impl_->send(peer, payload);
}

} // namespace savorywheel
