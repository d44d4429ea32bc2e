#ifndef SAVORYWHEEL_NODE_DOCUMENT_SERVICE_HPP
#define SAVORYWHEEL_NODE_DOCUMENT_SERVICE_HPP

#include <savorywheel/core/control_loop.hpp>
#include <savorywheel/core/event_quota.hpp>
#include <savorywheel/distribution/configuration_decoder.hpp>
#include <savorywheel/distribution/delivery_monitor.hpp>
#include <savorywheel/distribution/document_watcher.hpp>
#include <savorywheel/distribution/head_route.hpp>
#include <savorywheel/distribution/operator_documents.hpp>
#include <savorywheel/distribution/order_codec.hpp>
#include <savorywheel/distribution/watcher_choice.hpp>
#include <savorywheel/log/event_log.hpp>
#include <savorywheel/node/document_answers.hpp>
#include <savorywheel/node/document_fetcher.hpp>
#include <savorywheel/transport/frame_handler.hpp>
#include <savorywheel/transport/peer_network.hpp>
#include <savorywheel/transport/request_client.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace savorywheel {

/**
 * @brief Replicates the configuration and rollout orders from the hosting platform's object store.
 *
 * A document is an object that operators write to the object store: the configuration, or a rollout
 * order to move a service's traffic to another version. The nodes that are chosen as watchers watch
 * these objects. The others, and a node whose watch does not deliver a change, learn of it from the
 * messages of their peers, and fetch it from one of them.
 * @warning Call all member functions on the control thread, except on_frame() and on_closed().
 */
class document_service final : public frame_handler {
public:
    /** @brief Called on the control thread after the documents have changed. */
    using changed_callback = std::function<void()>;

    /** @brief Dependencies; all must outlive the service. */
    struct environment {
        /** @brief Event loop of the control thread. */
        control_loop& loop;
        /** @brief Limits events queued by peers. */
        event_quota& quota;
        random_source& random;
        /** @brief The platform's object store, used by the watch threads. */
        object_store& store;
        /** @brief Stream connections to peers. */
        peer_network& network;
        /** @brief Sends requests to peers and matches the responses. */
        request_client& requests;
        event_log& log;
        /** @brief Called for newer configurations and orders. */
        changed_callback changed;
        /** @brief Receives whether the object store answers, on the control thread. */
        std::function<void(bool)> store_health;
        /** @brief Called on the control thread if a peer with newer documents does not respond. */
        std::function<void()> fetch_delayed;
        /** @brief Called on the control thread after a watch has delivered a change. */
        std::function<void()> change_watched{};
        /** @copydoc document_fetcher::environment::ask_by_datagram */
        std::function<void(const network_endpoint& peer, std::uint64_t request,
                           const document_request& base)>
            ask_by_datagram{};
    };

    /**
     * @param decoder Decodes the configuration; must outlive the service.
     * @param rollout_order_codec Decodes the rollout orders; must outlive the service.
     * @param env Dependencies.
     */
    document_service(const configuration_decoder& decoder, const order_codec& rollout_order_codec,
                     environment env);

    /** @brief Reads the documents; starts the watches if the role requires it. */
    void start();

    /** @brief Starts or ends the watches. */
    void set_choice(const watcher_choice& choice);

    /** @brief Stops the watches and a pending fetch. */
    void stop();

    /**
     * @brief Schedules a fetch if a peer may have newer documents.
     * @param peer Peer to fetch from.
     * @param remote Summary of the documents that the peer has, or is about to have.
     * @param route How the summary arrived.
     */
    void on_head_received(const network_endpoint& peer, const configuration_head& remote,
                          head_route route = head_route::probe);

    /**
     * @brief Queues objects that were read from the store; may be called from any thread.
     * @param prefix One of prefixes().
     * @param objects Objects with this prefix.
     */
    void post_objects(std::string_view prefix, std::vector<stored_object> objects);

    /** @brief Logs and forwards changes of the store's health. */
    void on_store_health(const outcome<bool>& store_result);

    /** @return Key prefixes of the documents. */
    [[nodiscard]] std::vector<std::string> prefixes() const;

    /** @return Where the last change of the documents came from, for logs. */
    [[nodiscard]] std::string_view source() const noexcept { return source_; }

    /** @return This node's copy of the documents. */
    [[nodiscard]] const operator_documents& documents() const noexcept { return documents_; }

    /** @return Counters of the documents that were sent to peers; may be read by any thread. */
    [[nodiscard]] const document_counters& counters() const noexcept { return counters_; }

    /**
     * @brief Answers a request that came in a datagram.
     * @return The encoded answer, valid until the next call; empty if this node has nothing newer.
     */
    [[nodiscard]] std::span<const std::byte> newer_documents(const document_request& request);

    /** @copydoc document_fetcher::on_answer */
    void on_datagram_answer(std::uint64_t request, std::span<const std::byte> answer)
    {
        fetcher_.on_answer(request, answer);
    }

    void on_frame(const std::shared_ptr<frame_sink>& connection, frame_kind kind,
                  std::uint64_t correlation, std::span<const std::byte> payload) override;
    void on_closed(const frame_sink& connection, bool established) override;

private:
    /** A request of a peer for documents that this node is about to fetch. */
    struct waiting_request {
        std::shared_ptr<frame_sink> connection;
        std::uint64_t correlation{};
        document_request request;
    };

    [[nodiscard]] document_watcher::environment watcher_environment(std::string prefix,
                                                                    delivery_monitor& deliveries);
    [[nodiscard]] document_fetcher::environment fetcher_environment();
    /** Returns false if none of the objects is newer than this node's. */
    bool merge_objects(std::string_view prefix, std::span<const stored_object> objects);
    void on_documents_changed(std::string source);
    void answer(const waiting_request& item);
    void answer_waiting();
    [[nodiscard]] duration fetch_delay(const configuration_head& remote, head_route route) const;
    [[nodiscard]] bool merge_configuration(const stored_object& object);
    /** Merges a peer's answer; fails if its difference does not apply to this configuration. */
    outcome<bool> merge_answer(const network_endpoint& peer, const document_answer& received);
    [[nodiscard]] bool replace_configuration(const operator_configuration& candidate,
                                             std::uint64_t revision);
    [[nodiscard]] bool merge_order(const stored_object& object);
    void log_invalid_object(const stored_object& object, const failure& reason);
    /** Expects the watches to deliver as well what another source has just brought. */
    void expect_delivery(std::uint64_t previous_revision);
    void renew_overdue_watches();
    void renew(document_watcher& watcher, std::string_view prefix);
    /** Logs the first report of each head that this node lacks. */
    void log_newer_head(const network_endpoint& peer, const configuration_head& remote);

    const configuration_decoder& decoder_;
    const order_codec& order_codec_;
    environment environment_;
    operator_documents documents_;
    document_counters counters_;
    document_answers answers_{documents_, counters_};
    watch_role role_{watch_role::alone};
    std::optional<bool> store_reachable_;
    std::string source_;
    /** Last head that was logged as newer than this node's. */
    configuration_head newest_reported_;
    delivery_monitor configuration_deliveries_;
    delivery_monitor order_deliveries_;
    document_fetcher fetcher_;
    std::vector<waiting_request> waiting_requests_;
    document_watcher configuration_watcher_;
    document_watcher order_watcher_;
    subscription delivery_timer_;
};

} // namespace savorywheel

#endif
