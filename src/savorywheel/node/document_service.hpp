#ifndef SAVORYWHEEL_NODE_DOCUMENT_SERVICE_HPP
#define SAVORYWHEEL_NODE_DOCUMENT_SERVICE_HPP

#include <savorywheel/core/control_loop.hpp>
#include <savorywheel/core/event_quota.hpp>
#include <savorywheel/distribution/configuration_decoder.hpp>
#include <savorywheel/distribution/document_watcher.hpp>
#include <savorywheel/distribution/operator_documents.hpp>
#include <savorywheel/distribution/order_codec.hpp>
#include <savorywheel/log/event_log.hpp>
#include <savorywheel/transport/frame_handler.hpp>
#include <savorywheel/transport/peer_network.hpp>
#include <savorywheel/transport/request_client.hpp>

#include <functional>
#include <optional>

namespace savorywheel {

/**
 * @brief Follows the configuration and the orders that operators keep in the platform's service.
 *
 * Each node watches the objects. A node that the service does not answer hears from membership
 * messages that others know something newer, and fetches it from one of them.
 * @warning All members are for the control thread, but for on_frame() and on_closed().
 */
class document_service final : public frame_handler {
public:
    /** @brief Hears that something newer is known, on the control thread. */
    using changed_callback = std::function<void()>;

    /** @brief What the service works with; all must outlive it. */
    struct environment {
        /** @brief Control thread's events and timers. */
        control_loop& loop;
        /** @brief Bounds what peers queue. */
        event_quota& quota;
        /** @brief Random numbers. */
        random_source& random;
        /** @brief The platform's service, for the watching threads. */
        object_store& store;
        /** @brief Streams to peers. */
        peer_network& network;
        /** @brief Requests to peers. */
        request_client& requests;
        /** @brief Log. */
        event_log& log;
        /** @brief Hears of newer configurations and orders. */
        changed_callback changed;
        /** @brief Hears whether the platform's service answers, on the control thread. */
        std::function<void(bool)> store_health;
    };

    /**
     * @param decoder Reads the configuration; must outlive the service.
     * @param orders Reads the orders; must outlive the service.
     * @param env What the service works with.
     */
    document_service(const configuration_decoder& decoder, const order_codec& orders,
                     environment env);

    /** @brief Starts to watch. */
    void start();

    /** @brief Ends the watch. */
    void stop();

    /** @brief Hears what a peer has. */
    void on_head_received(const network_endpoint& peer, config_version head);

    /** @return What is known. */
    [[nodiscard]] const operator_documents& documents() const noexcept { return documents_; }

    void on_frame(const std::shared_ptr<frame_sink>& source, frame_kind kind,
                  std::uint64_t correlation, std::span<const std::byte> payload) override;
    void on_closed(const frame_sink& source, bool established) override;

private:
    using merge_function = bool (document_service::*)(const stored_object&);

    [[nodiscard]] document_watcher::environment watcher_environment(merge_function merge_object);
    [[nodiscard]] bool merge_configuration(const stored_object& object);
    [[nodiscard]] bool merge_order(const stored_object& object);
    void report_fault(const stored_object& object, const failure& reason);
    void on_store_health(const outcome<bool>& answered);
    void fetch(const network_endpoint& peer);
    void on_fetched(const request_client::response& answer);

    const configuration_decoder& decoder_;
    const order_codec& orders_;
    environment environment_;
    operator_documents documents_;
    std::optional<bool> store_reachable_;
    subscription fetch_timer_;
    bool fetching_{};
    document_watcher configuration_watcher_;
    document_watcher order_watcher_;
};

} // namespace savorywheel

#endif
