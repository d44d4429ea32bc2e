#ifndef SAVORYWHEEL_ROLLOUT_COMMIT_REWRITE_MONITOR_HPP
#define SAVORYWHEEL_ROLLOUT_COMMIT_REWRITE_MONITOR_HPP

#include <savorywheel/rollout/move_controller.hpp>
#include <savorywheel/rollout/rewritten_commit.hpp>

#include <deque>
#include <memory>
#include <span>

namespace savorywheel {

/**
 * @brief Detects accepted commits that were modified directly in the platform's service.
 *
 * The modified shares are published as an override. Every relay monitors the commits; the first one
 * to append the override resolves the conflict for all.
 * @warning Only for use on the control thread.
 */
class commit_rewrite_monitor {
public:
    /** @param env Dependencies; must outlive the monitor. */
    explicit commit_rewrite_monitor(move_controller::environment env) noexcept : environment_{env}
    {
    }

    /**
     * @brief Compares rewritten objects with the accepted commits and queues the differences.
     * @param found Commits as currently stored in the platform's service.
     * @param accepted The latest accepted commits.
     */
    void compare(std::span<const commit> found, const std::deque<commit>& accepted);

    /** @brief Publishes the next queued difference unless an append is in flight. */
    void run(const mesh_state& state, calendar_time now);

private:
    void publish(commit planned);

    move_controller::environment environment_;
    std::deque<rewritten_commit> pending_;
    bool append_in_flight_{};
    std::shared_ptr<bool> alive_{std::make_shared<bool>(true)};
};

} // namespace savorywheel

#endif
