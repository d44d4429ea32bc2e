#ifndef SAVORYWHEEL_TRANSPORT_REQUEST_CLIENT_HPP
#define SAVORYWHEEL_TRANSPORT_REQUEST_CLIENT_HPP

#include <savorywheel/core/outcome.hpp>
#include <savorywheel/transport/frame_handler.hpp>

#include <functional>
#include <map>
#include <mutex>
#include <vector>

namespace savorywheel {

/**
 * @brief Sends requests to peers and matches the responses by correlation id; thread-safe.
 *
 * A response is accepted only on the connection that carried its request. Responses to discarded
 * or unknown requests are ignored.
 */
class request_client final : public frame_handler {
public:
    /** @brief Response payload, or the reason why there is none. */
    using response = outcome<std::vector<std::byte>>;

    /**
     * @brief Called on the stream thread, the I/O thread of all peer connections, or by submit() on
     * an error; must not block.
     */
    using callback = std::function<void(response)>;

    /**
     * @brief Sends a request.
     * @param connection Connection to send the request on.
     * @param kind Frame kind of the request.
     * @param payload Copied.
     * @param done Called once, unless the request is discarded first; with unavailable if the
     * request was not sent, and with unknown_outcome if the connection was closed after the request
     * may have been sent. Called on the calling thread if the request cannot be queued.
     * @return Correlation id of the request.
     */
    std::uint64_t submit(const std::shared_ptr<frame_sink>& connection, frame_kind kind,
                         std::span<const std::byte> payload, const callback& done);

    /**
     * @brief Discards a pending request; a later response to it is ignored.
     * @param correlation Returned by submit().
     * @return True if the request was still pending.
     */
    bool discard(std::uint64_t correlation);

    void on_frame(const std::shared_ptr<frame_sink>& connection, frame_kind kind,
                  std::uint64_t correlation, std::span<const std::byte> payload) override;
    void on_closed(const frame_sink& connection, bool established) override;

private:
    struct pending {
        std::shared_ptr<frame_sink> connection;
        callback done;
    };

    std::mutex mutex_;
    std::uint64_t last_correlation_{};
    std::map<std::uint64_t, pending> pending_;
};

} // namespace savorywheel

#endif
