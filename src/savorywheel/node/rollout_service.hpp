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
 * @brief A node's part in the moves of traffic: evidence, ejection, notices and control.
 * @warning All members are for the control thread, but for on_frame() and on_closed().
 */
class rollout_service final : public frame_handler {
public:
    /** @brief What the service works with; all must outlive it. */
    struct environment {
        /** @brief Control thread's events and timers. */
        control_loop& loop;
        /** @brief Random numbers. */
        random_source& random;
        /** @brief Thread for the platform's service. */
        store_worker& worker;
        /** @brief Streams to peers. */
        peer_network& network;
        /** @brief Log. */
        event_log& log;
        /** @brief What the traffic threads see. */
        evidence_recorder& recorder;
        /** @brief What the traffic threads heed. */
        version_ejections& ejections;
        /** @brief Writes the steps of moves. */
        commit_appender& commits;
        /** @brief Gives the member records. */
        std::function<const member_table&()> members;
    };

    /**
     * @param self Name and endpoint of this node.
     * @param env What the service works with.
     */
    rollout_service(const lease_record& self, const environment& env);

    /** @brief Starts the timer. */
    void start();

    /** @brief Ends the timer and lets leases lapse. */
    void stop();

    /** @brief Hears of a newer configuration. */
    void on_configuration(const mesh_state& state);

    /**
     * @brief Hears of accepted commits whose objects were written again.
     * @param found The commits as the platform's service holds them now.
     * @param accepted The latest accepted commits.
     */
    void on_rewritten(std::span<const commit> found, const std::deque<commit>& accepted)
    {
        rewrite_detector_.compare(found, accepted);
    }

    /** @brief Hears that a member's record or status changed. */
    void on_members_changed() { exchange_.on_members_changed(); }

    void on_frame(const std::shared_ptr<frame_sink>& source, frame_kind kind,
                  std::uint64_t correlation, std::span<const std::byte> payload) override;
    void on_closed(const frame_sink& source, bool established) override;

private:
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
    subscription timer_;
};

} // namespace savorywheel

#endif
