#ifndef SAVORYWHEEL_DISTRIBUTION_COMMIT_LOG_HPP
#define SAVORYWHEEL_DISTRIBUTION_COMMIT_LOG_HPP

#include <savorywheel/config/mesh_state.hpp>
#include <savorywheel/distribution/apply_result.hpp>
#include <savorywheel/distribution/checkpoint.hpp>
#include <savorywheel/distribution/commit_batch_message.hpp>

#include <cstddef>
#include <deque>
#include <span>

namespace savorywheel {

/** @brief Commits retained in memory to serve peers that are behind. */
inline constexpr std::size_t max_retained_commits = 512;

/** @brief Maximum commits per batch; a peer that is further behind fetches again. */
inline constexpr std::size_t max_batch_commits = 128;

/** @brief Local replica of the ordered log: the applied state and the latest commits. */
class commit_log {
public:
    /**
     * @brief Applies the commits that follow the current version; skips those already applied.
     *
     * Each commit is applied atomically; the first one that cannot be applied ends the batch.
     * @param batch Commits, optionally preceded by a checkpoint.
     */
    [[nodiscard]] apply_result apply(const commit_batch_message& batch);

    /**
     * @return The first max_batch_commits commits after a version, or a checkpoint if the log does
     * not reach back to it.
     */
    [[nodiscard]] commit_batch_message batch_after(config_version version) const;

    [[nodiscard]] const mesh_state& state() const noexcept { return state_; }

    /** @return The retained commits, in version order. */
    [[nodiscard]] const std::deque<commit>& commits() const noexcept { return commits_; }

    [[nodiscard]] checkpoint make_checkpoint() const;

private:
    mesh_state state_;
    std::deque<commit> commits_;
};

} // namespace savorywheel

#endif
