#ifndef SAVORYWHEEL_NODE_DOCUMENT_CONFIG_PROVIDER_HPP
#define SAVORYWHEEL_NODE_DOCUMENT_CONFIG_PROVIDER_HPP

#include <savorywheel/membership/swim_agent.hpp>
#include <savorywheel/node/confirmation_service.hpp>
#include <savorywheel/node/document_datagrams.hpp>
#include <savorywheel/node/document_service.hpp>
#include <savorywheel/node/member_directory.hpp>
#include <savorywheel/node/restore_monitor.hpp>
#include <savorywheel/node/watch_duty.hpp>
#include <savorywheel/rollout/mesh_state_builder.hpp>

#include <functional>
#include <optional>

namespace savorywheel {

/**
 * @brief Control state of a mesh whose operators keep the configuration in the object store.
 *
 * Watches the configuration and the rollout orders, joins them with the members into the state
 * used for routing, and discovers other nodes through the same object store.
 * @warning Not thread-safe; call all members on the control thread.
 */
class document_config_provider {
public:
    /** @brief Receives each new state. */
    using state_callback = std::function<void(const mesh_state&)>;

    /** @brief Dependencies; all must outlive this object. */
    struct environment {
        /** @brief Event loop of the control thread. */
        control_loop& loop;
        /** @brief Limits events queued by peers. */
        event_quota& quota;
        random_source& random;
        /** @brief The platform's object store, used by the watch threads. */
        object_store& store;
        /** @brief Runs blocking calls to the object store. */
        store_worker& worker;
        datagram_channel& datagrams;
        /** @brief Stream connections to peers. */
        peer_network& network;
        /** @brief Sends requests to peers and matches the responses. */
        request_client& requests;
        event_log& log;
        /** @brief Members, including this node. */
        swim_agent& members;
        /** @brief Proven time and its limit. */
        const key_confirmation& keys;
        /** @brief Receives the states to use for routing. */
        state_callback state_changed;
        /** @brief Called after the store was restored from a backup. */
        std::function<void()> store_restored;
        /** @copydoc watch_duty::environment::every_node */
        bool every_node_watches{};
    };

    /**
     * @param decoder Decodes the configuration; must outlive this object.
     * @param orders Decodes the rollout orders; must outlive this object.
     * @param env Dependencies.
     */
    document_config_provider(const configuration_decoder& decoder, const order_codec& orders,
                             environment env);

    /** @brief Starts the watches and registers this node in the directory. */
    void start();

    /** @brief Stops the watches and removes this node from the directory. */
    void stop();

    /** @brief Recomputes the state if it depends on the members. */
    void on_members_changed();

    /** @brief Processes the summary of documents that a peer has reported. */
    void on_head_received(const network_endpoint& peer, const configuration_head& head);

    /** @return Frame handler for configuration requests. */
    [[nodiscard]] document_service& documents() noexcept { return documents_; }

    /** @return Datagram handler for documents. */
    [[nodiscard]] document_datagrams& datagrams() noexcept { return datagrams_; }

    /** @return Datagram handler for confirmations. */
    [[nodiscard]] confirmation_service& confirmations() noexcept { return confirmations_; }

private:
    [[nodiscard]] document_service::environment document_environment();
    [[nodiscard]] member_directory::environment directory_environment();
    [[nodiscard]] watch_duty::environment watch_environment();
    [[nodiscard]] restore_monitor::environment restore_environment(const order_codec& orders);
    void apply();
    void on_store_health(bool reachable);

    environment environment_;
    document_service documents_;
    document_datagrams datagrams_;
    confirmation_service confirmations_;
    watch_duty duty_;
    member_directory directory_;
    restore_monitor restores_;
    mesh_state_builder orders_;
    /** State last passed to the callback. */
    std::optional<mesh_state> last_state_;
};

} // namespace savorywheel

#endif
