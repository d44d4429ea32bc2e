#ifndef SAVORYWHEEL_TRANSPORT_FRAME_SINK_HPP
#define SAVORYWHEEL_TRANSPORT_FRAME_SINK_HPP

#include <savorywheel/core/failure.hpp>
#include <savorywheel/transport/frame_kind.hpp>
#include <savorywheel/transport/peer_clock.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

namespace savorywheel {

/** @brief Sending side of a stream between two nodes; any thread may use it. */
class frame_sink {
public:
    frame_sink() = default;
    frame_sink(const frame_sink&) = delete;
    frame_sink& operator=(const frame_sink&) = delete;
    frame_sink(frame_sink&&) = delete;
    frame_sink& operator=(frame_sink&&) = delete;
    virtual ~frame_sink() = default;

    /**
     * @brief Queues a frame; does not wait.
     * @param kind Meaning of the payload.
     * @param correlation Pairs an answer with its request.
     * @param payload Payload; copied.
     * @return False if the connection is closed or its queue is full; nothing was queued then.
     */
    virtual bool send(frame_kind kind, std::uint64_t correlation,
                      std::span<const std::byte> payload) = 0;

    /** @return The peer's IP number; empty if it is not known. */
    [[nodiscard]] virtual std::string_view peer_address() const noexcept { return {}; }

    /** @brief Closes the connection; its handler hears of it. */
    virtual void close() = 0;

    /** @brief Closes the connection once all queued frames were written. */
    virtual void close_after_writing() { close(); }

    /**
     * @brief Waits until the peer has answered on the connection, so that frames reach it.
     * @param deadline Time to convert.
     * @param connect_deadline Longest wait.
     * @return The deadline on the peer's clock, or earlier; nothing if the connection did not open.
     * @warning Not for the stream thread.
     */
    [[nodiscard]] virtual std::optional<peer_time> await_open(monotonic_time deadline,
                                                              monotonic_time connect_deadline)
    {
        static_cast<void>(connect_deadline);
        return to_peer_time(deadline);
    }

    /**
     * @brief Closes the connection because a payload on it could not be decoded.
     * @param reason What was wrong.
     */
    virtual void close_malformed(const failure& reason)
    {
        static_cast<void>(reason);
        close();
    }
};

} // namespace savorywheel

#endif
