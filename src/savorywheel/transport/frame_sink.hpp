#ifndef SAVORYWHEEL_TRANSPORT_FRAME_SINK_HPP
#define SAVORYWHEEL_TRANSPORT_FRAME_SINK_HPP

#include <savorywheel/core/failure.hpp>
#include <savorywheel/transport/frame_kind.hpp>
#include <savorywheel/transport/peer_clock.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string_view>

namespace savorywheel {

/** @brief Sending side of a connection to a peer; thread-safe. */
class frame_sink {
public:
    frame_sink() = default;
    frame_sink(const frame_sink&) = delete;
    frame_sink& operator=(const frame_sink&) = delete;
    frame_sink(frame_sink&&) = delete;
    frame_sink& operator=(frame_sink&&) = delete;
    virtual ~frame_sink() = default;

    /**
     * @brief Queues a frame without blocking.
     * @param kind Determines the format of the payload.
     * @param correlation Identifier that a response shares with its request.
     * @param payload Copied.
     * @return False if nothing was queued because the connection is closed, its queue is full or
     * the payload is too large.
     */
    virtual bool send(frame_kind kind, std::uint64_t correlation,
                      std::span<const std::byte> payload) = 0;

    /** @return The peer's IP address; empty if unknown. */
    [[nodiscard]] virtual std::string_view peer_address() const noexcept { return {}; }

    /** @brief Closes the connection; frame_handler::on_closed() is called. */
    virtual void close() = 0;

    /** @brief Closes the connection after all queued frames were written. */
    virtual void close_after_writing() { close(); }

    /** @brief Called once: with true if the connection is open, with false if it has closed. */
    using open_callback = std::function<void(bool open)>;

    /**
     * @brief Calls back as soon as the peer has confirmed the connection with a heartbeat.
     * @param done Called on the calling thread if the state is known already, else on the stream
     * thread; must not block.
     */
    virtual void when_open(const open_callback& done) { done(true); }

    /**
     * @param deadline Local time to convert.
     * @return The deadline on the peer's clock, never later than the true one; std::nullopt before
     * the peer has confirmed the connection.
     */
    [[nodiscard]] virtual std::optional<peer_time> to_clock_of_peer(monotonic_time deadline)
    {
        return to_peer_time(deadline);
    }

    /**
     * @brief Reports a payload that could not be decoded and closes the connection.
     * @param reason Describes the malformed input.
     */
    virtual void close_malformed(const failure& reason)
    {
        static_cast<void>(reason);
        close();
    }
};

} // namespace savorywheel

#endif
