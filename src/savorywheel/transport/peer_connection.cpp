#include <savorywheel/transport/peer_connection.hpp>

#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>

namespace savorywheel {

namespace {

namespace asio = boost::asio;
using boost::system::error_code;

constexpr std::chrono::milliseconds heartbeat_period{500};
constexpr std::chrono::milliseconds silence_limit{1500};
constexpr std::size_t read_step_bytes = 64UL * 1024UL;
constexpr std::size_t max_queued_bytes = 4UL * max_frame_bytes;

} // namespace

peer_connection::peer_connection(asio::io_context& context, frame_handler& handler,
                                 closed_callback closed)
    : socket_{context}, timer_{context}, handler_{handler}, on_closed_{std::move(closed)}
{
}

void peer_connection::connect(const network_endpoint& peer)
{
    error_code error;
    const auto address = asio::ip::make_address(peer.address, error);
    if (error) {
        asio::post(socket_.get_executor(), [self = shared_from_this()] { self->finish(); });
        return;
    }
    last_received_ = std::chrono::steady_clock::now();
    watch_silence();
    socket_.async_connect({address, peer.port},
                          [self = shared_from_this()](const error_code& result) {
                              if (result || self->closed_) {
                                  self->finish();
                                  return;
                              }
                              self->start();
                          });
}

void peer_connection::accept(asio::ip::tcp::socket socket)
{
    socket_ = std::move(socket);
    start();
    watch_silence();
}

bool peer_connection::send(frame_kind kind, std::uint64_t correlation,
                           std::span<const std::byte> payload)
{
    if (closed_ || payload.size() > max_frame_bytes) {
        return false;
    }
    const auto header =
        encode_header({static_cast<std::uint32_t>(payload.size()), kind, correlation});
    buffer bytes(header.size() + payload.size());
    std::ranges::copy(payload, std::ranges::copy(header, bytes.begin()).out);
    {
        const std::scoped_lock lock{mutex_};
        if (queued_bytes_ + bytes.size() > max_queued_bytes) {
            return false;
        }
        queued_bytes_ += bytes.size();
        queue_.push_back(std::move(bytes));
    }
    asio::post(socket_.get_executor(), [self = shared_from_this()] { self->write_next(); });
    return true;
}

void peer_connection::close()
{
    closed_ = true;
    asio::post(socket_.get_executor(), [self = shared_from_this()] { self->finish(); });
}

void peer_connection::refuse(const failure& reason)
{
    handler_.on_malformed(reason);
    close();
}

void peer_connection::start()
{
    established_ = true;
    last_received_ = std::chrono::steady_clock::now();
    error_code ignored;
    socket_.set_option(asio::ip::tcp::no_delay{true}, ignored);
    read_header();
    write_next();
}

void peer_connection::read_header()
{
    asio::async_read(socket_, asio::buffer(header_),
                     [self = shared_from_this()](const error_code& error, std::size_t) {
                         if (error) {
                             self->finish();
                             return;
                         }
                         self->last_received_ = std::chrono::steady_clock::now();
                         const auto header = decode_header(self->header_);
                         if (!header) {
                             self->handler_.on_malformed(header.reason());
                             self->finish();
                             return;
                         }
                         self->read_payload(*header);
                     });
}

void peer_connection::read_payload(const frame_header& header)
{
    payload_.clear();
    if (payload_.capacity() > read_step_bytes) {
        payload_.shrink_to_fit();
    }
    read_more(header);
}

void peer_connection::read_more(const frame_header& header)
{
    // Memory grows with what has arrived, not with what a header announces.
    const auto known = payload_.size();
    const auto step = std::min<std::size_t>(header.length - known, read_step_bytes);
    payload_.resize(known + step);
    asio::async_read(socket_, asio::buffer(payload_.data() + known, step),
                     [self = shared_from_this(), header](const error_code& error, std::size_t) {
                         if (error) {
                             self->finish();
                             return;
                         }
                         self->last_received_ = std::chrono::steady_clock::now();
                         if (self->payload_.size() < header.length) {
                             self->read_more(header);
                             return;
                         }
                         if (header.kind != frame_kind::heartbeat) {
                             self->handler_.on_frame(self, header.kind, header.correlation,
                                                     self->payload_);
                         }
                         self->read_header();
                     });
}

void peer_connection::write_next()
{
    if (writing_ || !established_ || finished_) {
        return;
    }
    const std::scoped_lock lock{mutex_};
    if (queue_.empty()) {
        return;
    }
    writing_ = true;
    asio::async_write(socket_, asio::buffer(queue_.front()),
                      [self = shared_from_this()](const error_code& error, std::size_t) {
                          self->writing_ = false;
                          if (error) {
                              self->finish();
                              return;
                          }
                          {
                              const std::scoped_lock guard{self->mutex_};
                              self->queued_bytes_ -= self->queue_.front().size();
                              self->queue_.pop_front();
                          }
                          self->write_next();
                      });
}

void peer_connection::watch_silence()
{
    timer_.expires_after(heartbeat_period);
    timer_.async_wait([self = shared_from_this()](const error_code& error) {
        if (error || self->finished_) {
            return;
        }
        if (std::chrono::steady_clock::now() - self->last_received_ > silence_limit) {
            self->finish();
            return;
        }
        if (self->established_) {
            self->send(frame_kind::heartbeat, 0, {});
        }
        self->watch_silence();
    });
}

void peer_connection::finish()
{
    closed_ = true;
    if (std::exchange(finished_, true)) {
        return;
    }
    error_code ignored;
    socket_.close(ignored);
    timer_.cancel();
    handler_.on_closed(*this, established_);
    on_closed_(shared_from_this());
}

} // namespace savorywheel
