#include <savorywheel/transport/peer_connection.hpp>

#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <sys/socket.h>

#include <algorithm>

namespace savorywheel {

namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using std::chrono::steady_clock;

constexpr std::size_t read_chunk_bytes = 64UL * 1024UL;
constexpr std::size_t max_queued_bytes = 4UL * max_frame_bytes;

} // namespace

peer_connection::peer_connection(asio::io_context& context, frame_handler& handler,
                                 byte_meter& meter, closed_callback closed)
    : socket_{context}, timer_{context}, handler_{handler}, meter_{meter}, on_closed_{
                                                                               std::move(closed)}
{
}

void peer_connection::connect(const network_endpoint& peer, const std::string& local_address)
{
    peer_address_ = peer.address;
    error_code error;
    const auto address = asio::ip::make_address(peer.address, error);
    const auto local = asio::ip::make_address(local_address, error);
    if (!error) {
        socket_.open(asio::ip::tcp::v4(), error);
    }
    if (!error) {
        socket_.bind({local, 0}, error);
    }
    if (error) {
        asio::post(socket_.get_executor(), [self = shared_from_this()] { self->finish(); });
        return;
    }
    is_initiator_ = true;
    last_received_ = steady_clock::now();
    schedule_liveness_check();
    socket_.async_connect({address, peer.port},
                          [self = shared_from_this()](const error_code& result) {
                              if (result || self->closed_) {
                                  self->finish();
                                  return;
                              }
                              self->start_reading();
                          });
}

void peer_connection::accept(asio::ip::tcp::socket socket)
{
    socket_ = std::move(socket);
    established_ = true;
    error_code ignored;
    peer_address_ = socket_.remote_endpoint(ignored).address().to_string();
    start_reading();
    mark_open();
    send_heartbeat();
    schedule_liveness_check();
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
        if (closed_ || closing_ || queued_bytes_ + bytes.size() > max_queued_bytes) {
            return false;
        }
        const auto now = steady_clock::now();
        exchanges_.on_sent(kind, correlation, now);
        const auto written = write_directly(bytes);
        if (written > 0) {
            meter_.on_sent(peer_address_, traffic_class_of(kind), written);
        }
        if (written == bytes.size()) {
            last_sent_ = now;
            return true;
        }
        bytes.erase(bytes.begin(), bytes.begin() + static_cast<std::ptrdiff_t>(written));
        queued_bytes_ += bytes.size();
        queue_.push_back({traffic_class_of(kind), std::move(bytes)});
    }
    asio::post(socket_.get_executor(), [self = shared_from_this()] { self->write_next(); });
    return true;
}

std::size_t peer_connection::write_directly(std::span<const std::byte> bytes) noexcept
{
    if (!open_ || writing_ || !queue_.empty()) {
        return 0;
    }
    const auto written =
        ::send(socket_.native_handle(), bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    return written > 0 ? static_cast<std::size_t>(written) : 0;
}

void peer_connection::close()
{
    closed_ = true;
    asio::post(socket_.get_executor(), [self = shared_from_this()] { self->finish(); });
}

void peer_connection::close_after_writing()
{
    {
        const std::scoped_lock lock{mutex_};
        closing_ = true;
    }
    asio::post(socket_.get_executor(), [self = shared_from_this()] {
        self->closing_since_ = steady_clock::now();
        self->write_next();
    });
}

void peer_connection::close_malformed(const failure& reason)
{
    handler_.on_malformed(reason);
    close();
}

void peer_connection::start_reading()
{
    last_received_ = steady_clock::now();
    error_code ignored;
    socket_.set_option(asio::ip::tcp::no_delay{true}, ignored);
    read_header();
}

void peer_connection::read_header()
{
    asio::async_read(socket_, asio::buffer(header_),
                     [self = shared_from_this()](const error_code& error, std::size_t) {
                         if (error) {
                             self->finish();
                             return;
                         }
                         self->last_received_ = steady_clock::now();
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
    if (payload_.capacity() > read_chunk_bytes) {
        payload_.shrink_to_fit();
    }
    read_more(header);
}

void peer_connection::read_more(const frame_header& header)
{
    // Allocates in proportion to the data received, not to the length claimed by the header.
    const auto received = payload_.size();
    const auto chunk = std::min<std::size_t>(header.length - received, read_chunk_bytes);
    payload_.resize(received + chunk);
    asio::async_read(socket_, asio::buffer(payload_.data() + received, chunk),
                     [self = shared_from_this(), header](const error_code& error, std::size_t) {
                         if (error) {
                             self->finish();
                             return;
                         }
                         self->last_received_ = steady_clock::now();
                         if (self->payload_.size() < header.length) {
                             self->read_more(header);
                             return;
                         }
                         self->meter_.on_received(self->peer_address_,
                                                  traffic_class_of(header.kind),
                                                  frame_header_bytes + header.length);
                         self->handle_frame(header);
                         self->read_header();
                     });
}

void peer_connection::handle_frame(const frame_header& header)
{
    last_received_ = steady_clock::now();
    if (header.kind == frame_kind::heartbeat) {
        on_heartbeat(header.correlation);
        return;
    }
    {
        const std::scoped_lock lock{mutex_};
        exchanges_.on_received(header.kind, header.correlation, last_received_);
    }
    handler_.on_frame(shared_from_this(), header.kind, header.correlation, payload_);
}

void peer_connection::mark_open()
{
    {
        const std::scoped_lock lock{mutex_};
        open_ = !closed_;
    }
    notify_open(!closed_);
}

void peer_connection::write_next()
{
    const std::scoped_lock lock{mutex_};
    if (writing_ || !open_) {
        return;
    }
    if (queue_.empty()) {
        if (closing_) {
            error_code ignored;
            socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
        }
        return;
    }
    writing_ = true;
    last_sent_ = steady_clock::now();
    asio::async_write(socket_, asio::buffer(queue_.front().bytes),
                      [self = shared_from_this()](const error_code& error, std::size_t) {
                          if (error) {
                              self->finish();
                              return;
                          }
                          {
                              const std::scoped_lock guard{self->mutex_};
                              self->writing_ = false;
                              const auto& sent = self->queue_.front();
                              self->meter_.on_sent(self->peer_address_, sent.purpose,
                                                   sent.bytes.size());
                              self->queued_bytes_ -= sent.bytes.size();
                              self->queue_.pop_front();
                          }
                          self->write_next();
                      });
}

void peer_connection::finish()
{
    {
        const std::scoped_lock lock{mutex_};
        closed_ = true;
        open_ = false;
        error_code ignored;
        socket_.close(ignored);
    }
    if (std::exchange(finished_, true)) {
        return;
    }
    timer_.cancel();
    notify_open(false);
    handler_.on_closed(*this, established_);
    on_closed_(shared_from_this());
}

} // namespace savorywheel
