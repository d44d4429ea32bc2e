#ifndef SAVORYWHEEL_NODE_CONTROL_PLANE_HPP
#define SAVORYWHEEL_NODE_CONTROL_PLANE_HPP

#include <savorywheel/admin/node_control.hpp>
#include <savorywheel/core/control_loop.hpp>
#include <savorywheel/core/event_quota.hpp>
#include <savorywheel/log/event_log.hpp>
#include <savorywheel/metrics/region_byte_meter.hpp>
#include <savorywheel/node/backend_monitor.hpp>
#include <savorywheel/node/document_config_provider.hpp>
#include <savorywheel/node/head_service.hpp>
#include <savorywheel/node/log_config_provider.hpp>
#include <savorywheel/node/membership_service.hpp>
#include <savorywheel/node/rollout_service.hpp>
#include <savorywheel/node/table_publisher.hpp>
#include <savorywheel/rollout/commit_appender.hpp>
#include <savorywheel/settings/node_settings.hpp>
#include <savorywheel/traffic/gate.hpp>
#include <savorywheel/traffic/retry_budget.hpp>

#include <memory>
#include <optional>

namespace savorywheel {

/** @brief The control state of a node, which belongs to the control thread. */
class control_plane final : public node_control, public membership_listener {
public:
    /** @brief What the control plane works with; all must outlive it. */
    struct environment {
        /** @brief Control thread's events and timers. */
        control_loop& loop;
        /** @brief Random numbers. */
        random_source& random;
        /** @brief The platform's service, for the watching thread. */
        object_store& store;
        /** @brief Thread for the platform's service. */
        store_worker& worker;
        /** @brief Sends datagrams. */
        datagram_channel& datagrams;
        /** @brief Streams to peers. */
        peer_network& network;
        /** @brief Requests to peers. */
        request_client& requests;
        /** @brief Receives the tables for the traffic threads. */
        routing_table_holder& tables;
        /** @brief The way to the backend server. */
        gate& backend_gate;
        /** @brief What the traffic threads see of moving services. */
        evidence_recorder& evidence;
        /** @brief Ejected versions that the traffic threads heed. */
        version_ejections& ejections;
        /** @brief Learns the regions of peers. */
        region_byte_meter& meter;
        /** @brief Log. */
        event_log& log;
        /** @brief Retries, which all nodes share. */
        retry_budget& retries;
        /**
         * @brief Reads the operators' object in the platform's service; nullptr if the
         * configuration is the mesh's own ordered log.
         */
        const configuration_decoder* decoder;
        /** @brief Reads operators' rollout orders; nullptr with the decoder. */
        const order_codec* orders;
    };

    /**
     * @param settings Settings of the node.
     * @param env What the control plane works with.
     */
    control_plane(const node_settings& settings, environment env);

    /** @brief Starts timers, membership and the lease; on the control thread. */
    void start();

    /** @brief Tells the mesh that the node leaves and ends its threads; on the control thread. */
    void leave();

    /** @return Versions in force, for the network's threads. */
    [[nodiscard]] head_service& heads() noexcept { return heads_; }

    /** @return Membership, for the network's threads. */
    [[nodiscard]] membership_service& membership() noexcept { return membership_; }

    /** @return Distribution, for the network's threads. */
    [[nodiscard]] distributor& distribution() noexcept { return ordered_log_.distribution(); }

    /** @return Floors, for the network's threads. */
    [[nodiscard]] floor_service& floors() noexcept { return ordered_log_.floors(); }

    /** @return Moves of traffic, for the network's threads. */
    [[nodiscard]] rollout_service& rollouts() noexcept { return rollouts_; }

    /** @return The operators' configuration, for the network's threads; nullptr if it is the log.
     */
    [[nodiscard]] document_service* documents() noexcept
    {
        return documents_ ? &documents_->documents() : nullptr;
    }

    [[nodiscard]] outcome<node_state_dump> dump() override;
    [[nodiscard]] outcome<mesh_state> configuration() override;
    [[nodiscard]] outcome<std::deque<commit>> history() override;
    [[nodiscard]] outcome<std::vector<domain_status>> domains() override;
    void announce_backend(const backend_server& backend) override;
    [[nodiscard]] outcome<bool>
    apply_announcement(const backend_announcement& announcement) override;
    [[nodiscard]] outcome<bool> deregister_backend(std::string_view identity) override;
    void on_member_changed(const member_update& update) override;
    void on_head_received(const network_endpoint& peer, config_version head) override;
    void publish_commit(const commit& change) override;

private:
    [[nodiscard]] membership_service::environment membership_environment();
    [[nodiscard]] log_config_provider::environment log_environment();
    [[nodiscard]] std::unique_ptr<document_config_provider> make_documents();
    [[nodiscard]] std::unique_ptr<commit_appender> make_appender();
    [[nodiscard]] rollout_service::environment rollout_environment();
    void apply_state(const mesh_state& state);
    void on_backend_changed(const std::optional<backend_server>& backend);

    node_settings settings_;
    environment environment_;
    event_quota quota_;
    /** News that the parts give while they are built must not reach parts that are not. */
    bool started_{};
    table_publisher publisher_;
    membership_service membership_;
    log_config_provider ordered_log_;
    backend_monitor backend_;
    std::unique_ptr<commit_appender> appender_;
    rollout_service rollouts_;
    head_service heads_;
    std::unique_ptr<document_config_provider> documents_;
};

} // namespace savorywheel

#endif
