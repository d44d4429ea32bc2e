#ifndef SAVORYWHEEL_NODE_CONTROL_PLANE_HPP
#define SAVORYWHEEL_NODE_CONTROL_PLANE_HPP

#include <savorywheel/admin/node_control.hpp>
#include <savorywheel/core/control_loop.hpp>
#include <savorywheel/core/event_quota.hpp>
#include <savorywheel/log/event_log.hpp>
#include <savorywheel/metrics/region_byte_meter.hpp>
#include <savorywheel/node/backend_registry.hpp>
#include <savorywheel/node/crash_report_handover.hpp>
#include <savorywheel/node/document_config_provider.hpp>
#include <savorywheel/node/head_service.hpp>
#include <savorywheel/node/log_config_provider.hpp>
#include <savorywheel/node/membership_service.hpp>
#include <savorywheel/node/quota_service.hpp>
#include <savorywheel/node/rollout_service.hpp>
#include <savorywheel/node/table_publisher.hpp>
#include <savorywheel/rollout/commit_appender.hpp>
#include <savorywheel/settings/node_settings.hpp>
#include <savorywheel/traffic/gate.hpp>
#include <savorywheel/traffic/key_confirmation.hpp>
#include <savorywheel/traffic/retry_budget.hpp>

#include <memory>
#include <optional>

namespace savorywheel {

/** @brief Control state of a node, owned by the control thread. */
class control_plane final : public node_control, public membership_listener {
public:
    /** @brief Dependencies; all must outlive the control plane. */
    struct environment {
        /** @brief Event loop of the control thread. */
        control_loop& loop;
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
        /** @brief Passes routing tables to the traffic threads. */
        routing_table_holder& tables;
        /** @brief Forwards calls to the backend server on this VM. */
        gate& backend_gate;
        /** @brief Call results of services with a traffic move, recorded by the traffic threads. */
        evidence_recorder& evidence;
        /** @brief Ejected versions, which the traffic threads avoid. */
        version_ejections& ejections;
        /** @brief Counts bytes by region; receives the regions of peers. */
        region_byte_meter& meter;
        event_log& log;
        /** @brief Retry budget, divided by the number of live nodes. */
        retry_budget& retries;
        /** @brief Whether API keys may be accepted; receives the proven times. */
        key_confirmation& keys;
        /**
         * @brief Decodes the operators' configuration in the object store; nullptr if the
         * mesh is configured through its own ordered log.
         */
        const configuration_decoder* decoder;
        /** @brief Decodes the operators' rollout orders; nullptr if the decoder is. */
        const order_codec* orders;
        /** @brief Receives the grants of tokens for this node. */
        quota_grant_sink& quota_grants;
        quota_metrics& quotas;
    };

    /**
     * @param settings Settings of the node.
     * @param env Dependencies.
     */
    control_plane(const node_settings& settings, environment env);

    /** @brief Starts timers, membership and leases; call on the control thread. */
    void start();

    /** @brief Leaves the mesh and stops timers, watches and leases; call on the control thread. */
    void leave();

    /** @return Frame handler for requests of the version in force. */
    [[nodiscard]] head_service& heads() noexcept { return heads_; }

    /** @return Frame handler of the membership protocol. */
    [[nodiscard]] membership_service& membership() noexcept { return membership_; }

    /**
     * @brief Decodes and queues a datagram; may be called from any thread.
     * @return Failure with code `malformed` or `overload` if it was dropped; true otherwise.
     */
    outcome<bool> on_datagram(std::span<const std::byte> payload);

    /** @return Frame handler that distributes commits. */
    [[nodiscard]] distributor& distribution() noexcept { return ordered_log_.distribution(); }

    /** @return Frame handler for version floors. */
    [[nodiscard]] floor_service& floors() noexcept { return ordered_log_.floors(); }

    /** @return Frame handler for traffic moves. */
    [[nodiscard]] rollout_service& rollouts() noexcept { return rollouts_; }

    /** @return Frame handler for the operators' documents; nullptr with the ordered log. */
    [[nodiscard]] document_service* documents() noexcept
    {
        return documents_ ? &documents_->documents() : nullptr;
    }

    /** @return Frame handler for copies of departures; nullptr with the ordered log. */
    [[nodiscard]] departure_copies* departures() noexcept { return backend_.copies(); }

    /** @return Receiver of the traffic thread's requests for tokens. */
    [[nodiscard]] quota_request_sink& quotas() noexcept { return quotas_; }

    [[nodiscard]] outcome<node_state_dump> dump() override;
    [[nodiscard]] outcome<mesh_state> configuration() override;
    [[nodiscard]] outcome<std::deque<commit>> history() override;
    [[nodiscard]] outcome<std::vector<domain_status>> domains() override;
    void announce_backend(const backend_server& backend) override;
    [[nodiscard]] outcome<bool>
    apply_announcement(const backend_announcement& announcement) override;
    [[nodiscard]] outcome<bool> deregister_backend(std::string_view identity) override;
    void on_member_changed(const member_update& update) override;
    void on_head_received(const network_endpoint& peer, const configuration_head& head) override;
    void on_proven(duration as_of) override { environment_.keys.advance(as_of); }
    void publish_commit(const commit& change) override;

private:
    [[nodiscard]] membership_service::environment membership_environment();
    [[nodiscard]] log_config_provider::environment log_environment();
    [[nodiscard]] backend_registry::environment backend_environment();
    [[nodiscard]] crash_report_handover::environment crash_environment();
    [[nodiscard]] std::unique_ptr<document_config_provider> make_documents();
    [[nodiscard]] std::unique_ptr<commit_appender> make_appender();
    [[nodiscard]] rollout_service::environment rollout_environment();
    [[nodiscard]] quota_service::environment quota_environment();
    void apply_state(const mesh_state& state);
    void on_backend_changed(const std::optional<backend_server>& backend);

    node_settings settings_;
    environment environment_;
    event_quota quota_;
    /** Suppresses callbacks during construction, when some members do not exist yet. */
    bool started_{};
    table_publisher publisher_;
    membership_service membership_;
    log_config_provider ordered_log_;
    backend_registry backend_;
    crash_report_handover crashes_;
    std::unique_ptr<commit_appender> appender_;
    rollout_service rollouts_;
    head_service heads_;
    std::unique_ptr<document_config_provider> documents_;
    quota_service quotas_;
};

} // namespace savorywheel

#endif
