#ifndef SAVORYWHEEL_TRANSPORT_FRAME_HANDLER_HPP
#define SAVORYWHEEL_TRANSPORT_FRAME_HANDLER_HPP

#include <savorywheel/core/failure.hpp>
#include <savorywheel/transport/frame_kind.hpp>
#include <savorywheel/transport/frame_sink.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>

namespace savorywheel {

/**
 * @brief Receiver of frames from peers; must not block.
 *
 * Called on the stream thread: the I/O thread of all peer connections.
 */
class frame_handler {
public:
    frame_handler() = default;
    frame_handler(const frame_handler&) = delete;
    frame_handler& operator=(const frame_handler&) = delete;
    frame_handler(frame_handler&&) = delete;
    frame_handler& operator=(frame_handler&&) = delete;
    virtual ~frame_handler() = default;

    /**
     * @brief Handles a received frame.
     * @param connection Connection that the frame arrived on; responses are sent to it.
     * @param kind Determines the format of the payload.
     * @param correlation Identifier that a response shares with its request.
     * @param payload Valid during the call.
     */
    virtual void on_frame(const std::shared_ptr<frame_sink>& connection, frame_kind kind,
                          std::uint64_t correlation, std::span<const std::byte> payload) = 0;

    /**
     * @brief Called once when a connection is closed.
     * @param established False if the connection was never opened, so that no request was sent.
     */
    virtual void on_closed(const frame_sink& connection, bool established) = 0;

    /**
     * @brief Called before a connection is closed because of a protocol error.
     * @param reason Describes the malformed input.
     */
    virtual void on_malformed(const failure& reason) { static_cast<void>(reason); }
};

} // namespace savorywheel

#endif
