#ifndef SAVORYWHEEL_ROLLOUT_ROLLOUT_POLICY_HPP
#define SAVORYWHEEL_ROLLOUT_ROLLOUT_POLICY_HPP

#include <savorywheel/config/service_state.hpp>
#include <savorywheel/core/clock.hpp>
#include <savorywheel/rollout/rollout_decision.hpp>
#include <savorywheel/rollout/route_evidence.hpp>

#include <span>

namespace savorywheel {

/** @brief Decides the next step of a move of traffic. */
class rollout_policy {
public:
    rollout_policy() = default;
    rollout_policy(const rollout_policy&) = delete;
    rollout_policy& operator=(const rollout_policy&) = delete;
    rollout_policy(rollout_policy&&) = delete;
    rollout_policy& operator=(rollout_policy&&) = delete;
    virtual ~rollout_policy() = default;

    /**
     * @brief Decides.
     * @param service State of the service, with a move in progress.
     * @param evidence What was seen of the service since the last step.
     * @param now Calendar time.
     */
    [[nodiscard]] virtual rollout_decision decide(const service_state& service,
                                                  std::span<const route_evidence> evidence,
                                                  calendar_time now) = 0;
};

} // namespace savorywheel

#endif
