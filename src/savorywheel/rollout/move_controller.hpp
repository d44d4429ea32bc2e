#ifndef SAVORYWHEEL_ROLLOUT_MOVE_CONTROLLER_HPP
#define SAVORYWHEEL_ROLLOUT_MOVE_CONTROLLER_HPP

#include <savorywheel/config/mesh_state.hpp>
#include <savorywheel/core/random_source.hpp>
#include <savorywheel/log/event_log.hpp>
#include <savorywheel/rollout/commit_appender.hpp>
#include <savorywheel/rollout/evidence_accumulator.hpp>
#include <savorywheel/rollout/rollout_policy.hpp>
#include <savorywheel/rollout/step_planner.hpp>
#include <savorywheel/rollout/withdrawal_notice.hpp>

#include <memory>
#include <optional>
#include <span>

namespace savorywheel {

/**
 * @brief Executes the decisions about one move by appending commits.
 *
 * A commit names its base version, and its key can be created only once. A paused or concurrent
 * controller therefore cannot commit on a stale state.
 * @warning Only for use on the control thread.
 */
class move_controller {
public:
    /** @brief Dependencies; must outlive the controller. */
    struct environment {
        commit_appender& commits;
        /** @brief Source of operation ids. */
        random_source& random;
        event_log& log;
    };

    /** @brief Inputs of one control period. */
    struct period {
        /** @brief Accepted state. */
        const mesh_state& state;
        /** @brief Evidence of the service since the last period. */
        std::span<const route_evidence> evidence;
        /** @brief Serving backend servers of the versions that gain a share. */
        std::size_t new_servers{};
        calendar_time calendar_now{};
        /** @brief True while this node holds the lease on the service's moves. */
        bool leader{};
        /** @brief Notice that withdraws the move, or nullptr. */
        const withdrawal_notice* notice{};
        /** @brief Evidence stored by an earlier controller, or nullptr. */
        const move_evidence* predecessor{};
    };

    /**
     * @param move The move to control.
     * @param self This node; named as the author of commits.
     * @param policy Policy that decides the steps.
     * @param env Dependencies.
     */
    move_controller(move_id move, node_id self, std::unique_ptr<rollout_policy> policy,
                    environment env);

    /**
     * @brief Makes one decision and appends its commit if this node holds the lease.
     * @return A notice to broadcast if the new version must not receive traffic any more.
     */
    [[nodiscard]] std::optional<withdrawal_notice> run(const period& input);

    /** @return The evidence to store for the next controller. */
    [[nodiscard]] move_evidence summary(const rollout_move& move) const
    {
        return evidence_.summary(move);
    }

private:
    [[nodiscard]] rollout_decision decide(const service_state& service, const period& input);
    void log_suspicion(const rollout_decision& decision);
    void write(const rollout_decision& decision, const period& input);
    void send();
    void on_written(const outcome<bool>& written);
    [[nodiscard]] bool retry(const mesh_state& state);

    move_id move_;
    node_id self_;
    std::unique_ptr<rollout_policy> policy_;
    environment environment_;
    evidence_accumulator evidence_;
    std::optional<commit> pending_;
    bool append_in_flight_{};
    bool suspected_{};
    std::shared_ptr<bool> alive_{std::make_shared<bool>(true)};
};

} // namespace savorywheel

#endif
