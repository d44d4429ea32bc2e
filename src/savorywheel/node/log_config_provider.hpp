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
 * @brief The control state of a mesh whose configuration is its own ordered log.
 *
 * It keeps the copy of the log, decides with floors which version may be used, and relays into the
 * failure domain while this node holds the lease for that.
 * @warning All members are for the control thread.
 */
class log_config_provider final : public configuration_listener, public floor_listener {
public:
    /** @brief Hears of states. */
    using state_callback = std::function<void(const mesh_state&)>;

    /** @brief What the plane works with; all must outlive it. */
    struct environment {
        /** @brief Control thread's events and timers. */
        control_loop& loop;
        /** @brief Bounds what peers queue. */
        event_quota& quota;
        /** @brief Random numbers. */
        random_source& random;
        /** @brief The platform's service, for the watching thread. */
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
        /** @brief Hears of each state that was accepted. */
        state_callback accepted;
        /** @brief Hears of states that may be used. */
        state_callback usable;
        /** @brief Hears what was read of the log, with the commits that were accepted before. */
        std::function<void(const log_tail&, const std::deque<commit>&)> rewritten;
    };

    /**
     * @param settings Settings of the node; must outlive the plane.
     * @param env What the plane works with.
     */
    log_config_provider(const node_settings& settings, environment env);

    /** @brief Starts to learn the floor, and to compete for the lease. */
    void start();

    /** @brief Gives the lease up. */
    void stop();

    /** @brief Takes a commit that this node has written. */
    void add_committed(const commit& change);

    /** @brief Fills in what a dump of the node says of the log. */
    void describe(node_state_dump& state);

    /** @return This node's copy of the log. */
    [[nodiscard]] const commit_log& log() const noexcept { return distributor_.log(); }

    /** @return Distribution, for the network's threads. */
    [[nodiscard]] distributor& distribution() noexcept { return distributor_; }

    /** @return Floors, for the network's threads. */
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
    /** Reads the log in the store, so that this node learns its floor without buddies. */
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
