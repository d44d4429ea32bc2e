#ifndef SAVORYWHEEL_TRANSPORT_PEER_CONNECTION_HPP
#define SAVORYWHEEL_TRANSPORT_PEER_CONNECTION_HPP

#include <savorywheel/core/network_endpoint.hpp>
#include <savorywheel/transport/byte_meter.hpp>
#include <savorywheel/transport/exchange_tracker.hpp>
#include <savorywheel/transport/frame_handler.hpp>
#include <savorywheel/transport/frame_header.hpp>
#include <savorywheel/transport/frame_sink.hpp>
#include <savorywheel/transport/peer_clock.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <atomic>
#include <chrono>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace savorywheel {

/**
 * @brief TCP connection to a peer; asynchronous input and output runs on the stream thread.
 *
 * The accepting end sends the first heartbeat, and the initiator writes nothing until it arrives.
 * A connection that never worked in both directions has therefore carried no request. While a
 * request is pending or the connection was used recently, each end sends a heartbeat whenever it
 * has sent no other frame for a heartbeat period. The initiator closes an idle connection.
 * @warning Include only in source files of this module; the header exposes Boost.Asio.
 */
class peer_connection final : public frame_sink,
                              public std::enable_shared_from_this<peer_connection> {
public:
    /** @brief Called on the stream thread after the connection was closed. */
    using closed_callback = std::function<void(const std::shared_ptr<peer_connection>&)>;

    /**
     * @param context Runs on the stream thread.
     * @param handler Called for each received frame; must outlive the connection.
     * @param meter Notified of every frame; must outlive the connection.
     * @param closed Called exactly once.
     */
    peer_connection(boost::asio::io_context& context, frame_handler& handler, byte_meter& meter,
                    closed_callback closed);

    /**
     * @brief Starts to connect to a peer.
     * @param peer The peer's endpoint.
     * @param local_address IP address to bind to; identifies this node to the peer.
     */
    void connect(const network_endpoint& peer, const std::string& local_address);

    /** @brief Starts to use an accepted socket. */
    void accept(boost::asio::ip::tcp::socket socket);

    /** @return True once close() was called or the connection has failed. */
    [[nodiscard]] bool closed() const noexcept { return closed_; }

    bool send(frame_kind kind, std::uint64_t correlation,
              std::span<const std::byte> payload) override;
    [[nodiscard]] std::string_view peer_address() const noexcept override { return peer_address_; }
    void close() override;
    void close_after_writing() override;
    void when_open(const open_callback& done) override;
    [[nodiscard]] std::optional<peer_time> to_clock_of_peer(monotonic_time deadline) override;
    void close_malformed(const failure& reason) override;

private:
    using buffer = std::vector<std::byte>;

    struct queued_frame {
        traffic_class purpose;
        buffer bytes;
    };

    void start_reading();
    void mark_open();
    void notify_open(bool open);
    [[nodiscard]] std::size_t write_directly(std::span<const std::byte> bytes) noexcept;
    void read_header();
    void read_payload(const frame_header& header);
    void read_more(const frame_header& header);
    void write_next();
    void on_heartbeat(std::uint64_t sent);
    void handle_frame(const frame_header& header);
    void schedule_liveness_check();
    void check_liveness(monotonic_time now);
    void send_heartbeat();
    void finish();

    boost::asio::ip::tcp::socket socket_;
    boost::asio::steady_timer timer_;
    frame_handler& handler_;
    byte_meter& meter_;
    closed_callback on_closed_;
    std::string peer_address_;
    std::array<std::byte, frame_header_bytes> header_{};
    buffer payload_;
    std::atomic<bool> closed_{};
    bool is_initiator_{};
    bool established_{};
    bool finished_{};
    bool writing_{};
    bool closing_{};
    monotonic_time created_at_{std::chrono::steady_clock::now()};
    monotonic_time last_received_;
    monotonic_time last_sent_{created_at_};
    std::optional<monotonic_time> closing_since_;
    std::mutex mutex_;
    bool open_{};
    /** Called when the connection opens or closes. */
    std::vector<open_callback> open_callbacks_;
    peer_clock peer_clock_;
    exchange_tracker exchanges_;
    std::deque<queued_frame> queue_;
    std::size_t queued_bytes_{};
};

} // namespace savorywheel

#endif
