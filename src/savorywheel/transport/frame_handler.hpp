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

/** @brief Receiving side of streams between nodes; called on the stream thread, must not wait. */
class frame_handler {
public:
    frame_handler() = default;
    frame_handler(const frame_handler&) = delete;
    frame_handler& operator=(const frame_handler&) = delete;
    frame_handler(frame_handler&&) = delete;
    frame_handler& operator=(frame_handler&&) = delete;
    virtual ~frame_handler() = default;

    /**
     * @brief Takes a frame.
     * @param source Connection that it came on, for answers.
     * @param kind Meaning of the payload.
     * @param correlation Pairs an answer with its request.
     * @param payload Payload; valid during the call.
     */
    virtual void on_frame(const std::shared_ptr<frame_sink>& source, frame_kind kind,
                          std::uint64_t correlation, std::span<const std::byte> payload) = 0;

    /**
     * @brief Hears that a connection was closed.
     * @param source The connection.
     * @param established False if it could never be opened, so that nothing was sent.
     */
    virtual void on_closed(const frame_sink& source, bool established) = 0;

    /**
     * @brief Hears that input on a connection broke the protocol, so that it is closed.
     * @param reason What was wrong.
     */
    virtual void on_malformed(const failure& reason) { static_cast<void>(reason); }
};

} // namespace savorywheel

#endif
