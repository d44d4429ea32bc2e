#ifndef SAVORYWHEEL_NODE_LOG_CONFIG_PROVIDER_HPP
#define SAVORYWHEEL_NODE_LOG_CONFIG_PROVIDER_HPP

#include <savorywheel/admin/node_state_dump.hpp>
#include <savorywheel/core/control_loop.hpp>
#include <savorywheel/core/event_quota.hpp>
#include <savorywheel/distribution/distributor.hpp>
#include <savorywheel/distribution/floor_service.hpp>
#include <savorywheel/log/event_log.hpp>
#include <savorywheel/membership/swim_agent.hpp>
#include <savorywheel/node/relay_role.hpp>
#include <savorywheel/settings/node_settings.hpp>

#include <deque>
#include <functional>
#include <map>

namespace savorywheel {

/**
 * @brief Control state of a mesh that is configured through its own ordered log.
 *
 * Replicates the log, uses version floors to decide which version may come into force, and relays
 * commits into the failure domain while this node holds the relay lease.
 * @warning Not thread-safe; call all members on the control thread.
 */
class log_config_provider final : public configuration_listener, public floor_listener {
public:
    /** @brief Receives a state. */
    using state_callback = std::function<void(const mesh_state&)>;

    /** @brief Dependencies; all must outlive this object. */
    struct environment {
        /** @brief Event loop of the control thread. */
        control_loop& loop;
        /** @brief Limits events queued by peers. */
        event_quota& quota;
        random_source& random;
        /** @brief The platform's object store, used by the watch thread. */
        object_store& store;
        /** @brief Runs blocking calls to the object store. */
        store_worker& worker;
        /** @brief Stream connections to peers. */
        peer_network& network;
        /** @brief Sends requests to peers and matches the responses. */
        request_client& requests;
        event_log& log;
        /** @brief Members, including this node. */
        swim_agent& members;
        /** @brief Receives each accepted state. */
        state_callback accepted;
        /** @brief Receives each state that may come into force. */
        state_callback usable;
        /** @brief Receives each part read from the stored log, and the commits accepted so far. */
        std::function<void(const log_tail&, const std::deque<commit>&)> rewritten;
    };

    /**
     * @param settings Settings of the node; must outlive this object.
     * @param env Dependencies.
     */
    log_config_provider(const node_settings& settings, environment env);

    /** @brief Starts to query the version floor and to compete for the relay lease. */
    void start();

    /** @brief Stops floor queries and the watch, and releases the relay lease. */
    void stop();

    /** @brief Adds a commit that this node has written to the object store. */
    void add_committed(const commit& change);

    /** @brief Sets the fields of a node state dump that concern the log. */
    void describe(node_state_dump& state);

    /** @return Local replica of the log. */
    [[nodiscard]] const commit_log& log() const noexcept { return distributor_.log(); }

    /** @return Frame handler that distributes commits. */
    [[nodiscard]] distributor& distribution() noexcept { return distributor_; }

    /** @return Frame handler for version floors. */
    [[nodiscard]] floor_service& floors() noexcept { return floors_; }

    void on_configuration(const mesh_state& state) override;
    void on_bad_commit(const failure& reason) override;
    void on_floor_known(config_version floor) override;
    void on_version_usable(config_version version) override;
    void on_floor_delayed(config_version version) override;
    void on_floor_skipped(config_version version) override;

private:
    [[nodiscard]] distributor::environment distribution_environment();
    [[nodiscard]] floor_service::environment floor_environment();
    [[nodiscard]] relay_role::environment relay_environment();
    /** Reads the head of the stored log, which settles the floor without a quorum of peers. */
    void read_store();
    void apply_tail(const log_tail& tail);

    environment environment_;
    distributor distributor_;
    floor_service floors_;
    relay_role relay_;
    std::map<config_version, mesh_state> accepted_;
};

} // namespace savorywheel

#endif
