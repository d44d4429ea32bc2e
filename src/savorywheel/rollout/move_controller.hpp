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
 * @brief Carries out the decisions about one move as commits.
 *
 * A commit names the state on which it was decided, and its key can be created once. So a
 * controller that was paused, or a second one, cannot write on an old state.
 * @warning All members are for the control thread.
 */
class move_controller {
public:
    /** @brief What the controller works with; all must outlive it. */
    struct environment {
        /** @brief Appends commits. */
        commit_appender& commits;
        /** @brief Random numbers, for operation ids. */
        random_source& random;
        /** @brief Log. */
        event_log& log;
    };

    /** @brief What one period brought. */
    struct period {
        /** @brief Accepted configuration. */
        const mesh_state& state;
        /** @brief What was seen of the service. */
        std::span<const route_evidence> evidence;
        /** @brief Serving backend servers of the versions that gain a share. */
        std::size_t new_servers{};
        /** @brief Calendar time. */
        calendar_time calendar_now{};
        /** @brief True if this node holds the lease on the service's moves. */
        bool leader{};
        /** @brief Notice that withdraws the move; nullptr if there is none. */
        const withdrawal_notice* notice{};
        /** @brief What an earlier controller left; nullptr if nothing. */
        const move_evidence* predecessor{};
    };

    /**
     * @param move The move.
     * @param self This node.
     * @param policy Decides the steps.
     * @param env What the controller works with.
     */
    move_controller(move_id move, node_id self, std::unique_ptr<rollout_policy> policy,
                    environment env);

    /**
     * @brief Decides once, and writes a commit if this node holds the lease.
     * @return A notice to spread, if the version must get no traffic from now on.
     */
    [[nodiscard]] std::optional<withdrawal_notice> run(const period& input);

    /** @return What to leave to the next controller. */
    [[nodiscard]] move_evidence summary(const rollout_move& move) const
    {
        return evidence_.summary(move);
    }

private:
    [[nodiscard]] rollout_decision decide(const service_state& service, const period& input);
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
    std::shared_ptr<bool> alive_{std::make_shared<bool>(true)};
};

} // namespace savorywheel

#endif
