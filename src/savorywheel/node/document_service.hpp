#ifndef SAVORYWHEEL_NODE_DOCUMENT_SERVICE_HPP
#define SAVORYWHEEL_NODE_DOCUMENT_SERVICE_HPP

#include <savorywheel/core/control_loop.hpp>
#include <savorywheel/core/event_quota.hpp>
#include <savorywheel/distribution/configuration_decoder.hpp>
#include <savorywheel/distribution/document_watcher.hpp>
#include <savorywheel/log/event_log.hpp>
#include <savorywheel/transport/frame_handler.hpp>
#include <savorywheel/transport/peer_network.hpp>
#include <savorywheel/transport/request_client.hpp>

#include <functional>
#include <optional>

namespace savorywheel {

/**
 * @brief Follows the configuration that operators keep in one object of the platform's service.
 *
 * Each node watches the object. A node that the service does not answer hears from membership
 * messages that others have a newer version, and fetches it from one of them.
 * @warning All members are for the control thread, but for on_frame() and on_closed().
 */
class document_service final : public frame_handler {
public:
    /** @brief Takes a newer configuration, on the control thread. */
    using accepted_callback = std::function<void(const operator_configuration&)>;

    /** @brief What the service works with; all must outlive it. */
    struct environment {
        /** @brief Control thread's events and timers. */
        control_loop& loop;
        /** @brief Bounds what peers queue. */
        event_quota& quota;
        /** @brief Random numbers. */
        random_source& random;
        /** @brief The platform's service, for the watching thread. */
        object_store& store;
        /** @brief Streams to peers. */
        peer_network& network;
        /** @brief Requests to peers. */
        request_client& requests;
        /** @brief Log. */
        event_log& log;
        /** @brief Takes newer configurations. */
        accepted_callback accepted;
    };

    /**
     * @param decoder Reads the object; must outlive the service.
     * @param surroundings What the service works with.
     */
    document_service(const configuration_decoder& decoder, environment surroundings);

    /** @brief Starts to watch. */
    void start();

    /** @brief Ends the watch. */
    void stop();

    /** @brief Hears which version a peer has. */
    void on_head_seen(const network_endpoint& peer, config_version head);

    /** @return The newest configuration; its version is zero if none is known. */
    [[nodiscard]] const operator_configuration& newest() const noexcept { return newest_; }

    void on_frame(const std::shared_ptr<frame_sink>& source, frame_kind kind,
                  std::uint64_t correlation, std::span<const std::byte> payload) override;
    void on_closed(const frame_sink& source, bool established) override;

private:
    [[nodiscard]] document_watcher::environment watcher_environment();
    void take_document(const stored_object& document);
    void take(const operator_configuration& candidate);
    void on_store_health(bool reachable);
    void fetch(const network_endpoint& peer);
    void on_fetched(const request_client::answer& answer);

    const configuration_decoder& decoder_;
    environment environment_;
    operator_configuration newest_;
    std::optional<bool> store_reachable_;
    subscription fetch_timer_;
    bool fetching_{};
    document_watcher watcher_;
};

} // namespace savorywheel

#endif
