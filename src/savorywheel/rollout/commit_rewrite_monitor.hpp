#ifndef SAVORYWHEEL_ROLLOUT_COMMIT_REWRITE_MONITOR_HPP
#define SAVORYWHEEL_ROLLOUT_COMMIT_REWRITE_MONITOR_HPP

#include <savorywheel/rollout/move_controller.hpp>
#include <savorywheel/rollout/rewritten_commit.hpp>

#include <deque>
#include <memory>
#include <span>

namespace savorywheel {

/**
 * @brief Publishes what was changed in accepted commits past the tool.
 *
 * Every relay watches the commits; the first one to append the override settles it for all.
 * @warning All members are for the control thread.
 */
class commit_rewrite_monitor {
public:
    /** @param env What the guard works with. */
    explicit commit_rewrite_monitor(move_controller::environment env) noexcept : environment_{env}
    {
    }

    /**
     * @brief Compares objects that were written again with the accepted commits.
     * @param found Commits as the platform's service holds them now.
     * @param accepted The latest accepted commits.
     */
    void compare(std::span<const commit> found, const std::deque<commit>& accepted);

    /** @brief Publishes what is not yet published. */
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
