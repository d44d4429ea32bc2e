#ifndef SAVORYWHEEL_NODE_ROLLOUT_SERVICE_HPP
#define SAVORYWHEEL_NODE_ROLLOUT_SERVICE_HPP

#include <savorywheel/node/controller_set.hpp>
#include <savorywheel/node/evidence_exchange.hpp>
#include <savorywheel/node/withdrawal_broadcaster.hpp>
#include <savorywheel/rollout/commit_appender.hpp>
#include <savorywheel/rollout/commit_rewrite_monitor.hpp>
#include <savorywheel/rollout/evidence_recorder.hpp>
#include <savorywheel/rollout/local_ejector.hpp>
#include <savorywheel/transport/frame_handler.hpp>

#include <functional>

namespace savorywheel {

/**
 * @brief Traffic moves on this node: evidence, local ejection, withdrawal notices and control.
 * @warning Call all members on the control thread, except on_frame() and on_closed().
 */
class rollout_service final : public frame_handler {
public:
    /** @brief Dependencies; all must outlive the service. */
    struct environment {
        /** @brief Event loop of the control thread. */
        control_loop& loop;
        random_source& random;
        /** @brief Runs blocking calls to the object store. */
        store_worker& worker;
        /** @brief Stream connections to peers. */
        peer_network& network;
        event_log& log;
        /** @brief Call results recorded by the traffic threads. */
        evidence_recorder& recorder;
        /** @brief Ejected versions, which the traffic threads avoid. */
        version_ejections& ejections;
        /** @brief Writes the steps of traffic moves. */
        commit_appender& commits;
        /** @brief Returns the member table. */
        std::function<const member_table&()> members;
    };

    /**
     * @param self Name and endpoint of this node.
     * @param env Dependencies.
     */
    rollout_service(const lease_record& self, const environment& env);

    /** @brief Starts the periodic evaluation. */
    void start();

    /** @brief Stops the periodic evaluation and releases held leases. */
    void stop();

    /** @brief Applies a newer configuration. */
    void on_configuration(const mesh_state& state);

    /**
     * @brief Handles accepted commits whose objects were overwritten in the object store.
     * @param found The commits as currently stored.
     * @param accepted The latest accepted commits.
     */
    void on_rewritten(std::span<const commit> found, const std::deque<commit>& accepted)
    {
        rewrite_detector_.compare(found, accepted);
    }

    /** @brief Called after a member's record or status has changed. */
    void on_members_changed() { exchange_.on_members_changed(); }

    void on_frame(const std::shared_ptr<frame_sink>& connection, frame_kind kind,
                  std::uint64_t correlation, std::span<const std::byte> payload) override;
    void on_closed(const frame_sink& connection, bool established) override;

private:
    /** @return Time until the next run: the shortest evidence period of the moves. */
    [[nodiscard]] std::chrono::milliseconds next_period() const;
    void schedule();
    void run_period();
    void observe_own_calls(const service_state& service, std::span<const route_evidence> evidence);
    void control(const service_state& service);
    void receive_notice(const withdrawal_notice& notice);
    void receive_report(const evidence_report& report);
    void publish_ejections();

    node_id self_;
    environment environment_;
    mesh_state state_;
    evidence_exchange exchange_;
    withdrawal_broadcaster broadcaster_;
    controller_set controllers_;
    local_ejector ejector_;
    commit_rewrite_monitor rewrite_detector_;
    std::chrono::milliseconds period_{};
    subscription timer_;
};

} // namespace savorywheel

#endif
