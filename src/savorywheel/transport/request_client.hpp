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
 * @brief Pairs answers with requests on streams; any thread may submit.
 *
 * An answer counts only on the connection that carried its request. A late one is dropped.
 */
class request_client final : public frame_handler {
public:
    /** @brief Payload of an answer. */
    using response = outcome<std::vector<std::byte>>;

    /** @brief Takes the answer, on the stream thread; must not wait. */
    using callback = std::function<void(response)>;

    /**
     * @brief Sends a request.
     * @param peer Connection to send it on.
     * @param kind Kind of the request.
     * @param payload Payload.
     * @param done Called once, unless the request is forgotten first: unavailable if the request
     * was not sent, unknown_outcome if the connection was closed after it may have been.
     * @return Names the request.
     */
    std::uint64_t submit(const std::shared_ptr<frame_sink>& peer, frame_kind kind,
                         std::span<const std::byte> payload, const callback& done);

    /**
     * @brief Drops a request; a later answer to it is ignored.
     * @param correlation What submit() returned.
     * @return True if no answer had come.
     */
    bool discard(std::uint64_t correlation);

    void on_frame(const std::shared_ptr<frame_sink>& source, frame_kind kind,
                  std::uint64_t correlation, std::span<const std::byte> payload) override;
    void on_closed(const frame_sink& source, bool established) override;

private:
    struct pending {
        std::shared_ptr<frame_sink> peer;
        callback done;
    };

    std::mutex mutex_;
    std::uint64_t last_correlation_{};
    std::map<std::uint64_t, pending> pending_;
};

} // namespace savorywheel

#endif
