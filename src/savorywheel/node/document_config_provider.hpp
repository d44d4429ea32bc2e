#ifndef SAVORYWHEEL_NODE_DOCUMENT_CONFIG_PROVIDER_HPP
#define SAVORYWHEEL_NODE_DOCUMENT_CONFIG_PROVIDER_HPP

#include <savorywheel/membership/swim_agent.hpp>
#include <savorywheel/node/document_service.hpp>
#include <savorywheel/node/member_directory.hpp>
#include <savorywheel/rollout/mesh_state_builder.hpp>

#include <functional>
#include <optional>

namespace savorywheel {

/**
 * @brief The control state of a mesh whose configuration operators keep in the platform's service.
 *
 * It follows the configuration and the orders, joins them with the members into the state that is
 * routed by, and finds the other nodes through the same service.
 * @warning All members are for the control thread.
 */
class document_config_provider {
public:
    /** @brief Hears of each new state. */
    using state_callback = std::function<void(const mesh_state&)>;

    /** @brief What the plane works with; all must outlive it. */
    struct environment {
        /** @brief Control thread's events and timers. */
        control_loop& loop;
        /** @brief Bounds what peers queue. */
        event_quota& quota;
        /** @brief Random numbers. */
        random_source& random;
        /** @brief The platform's service, for the watching threads. */
        object_store& store;
        /** @brief Thread for the platform's service. */
        store_worker& worker;
        /** @brief Streams to peers. */
        peer_network& network;
        /** @brief Requests to peers. */
        request_client& requests;
        /** @brief Log. */
        event_log& log;
        /** @brief Members, and this node among them. */
        swim_agent& members;
        /** @brief Hears of states to route by. */
        state_callback state_changed;
    };

    /**
     * @param decoder Reads the configuration; must outlive the plane.
     * @param orders Reads the orders; must outlive the plane.
     * @param env What the plane works with.
     */
    document_config_provider(const configuration_decoder& decoder, const order_codec& orders,
                             environment env);

    /** @brief Starts to watch, and enters this node into the directory. */
    void start();

    /** @brief Ends the watch, and takes this node out of the directory. */
    void stop();

    /** @brief Joins anew if the state depends on the members. */
    void on_members_changed();

    /** @brief Hears what a peer has. */
    void on_head_received(const network_endpoint& peer, config_version head);

    /** @return The watch, for the network's threads. */
    [[nodiscard]] document_service& documents() noexcept { return documents_; }

private:
    [[nodiscard]] document_service::environment document_environment();
    [[nodiscard]] member_directory::environment directory_environment();
    void apply();
    void on_store_health(bool reachable);

    environment environment_;
    document_service documents_;
    member_directory directory_;
    mesh_state_builder orders_;
    /** State that was passed on last. */
    std::optional<mesh_state> last_state_;
};

} // namespace savorywheel

#endif
