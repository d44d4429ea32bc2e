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

/** @brief Commits that a node keeps for peers that are behind. */
inline constexpr std::size_t max_retained_commits = 512;

/** @brief Commits in one batch; a peer that lacks more asks again. */
inline constexpr std::size_t max_batch_commits = 128;

/** @brief A node's copy of the ordered log: its state and the latest commits. */
class commit_log {
public:
    /**
     * @brief Takes the commits that follow the state; skips known ones.
     *
     * Each commit is applied whole or not at all; the first that cannot be applied ends the batch.
     * @param batch Commits, perhaps after a checkpoint.
     */
    [[nodiscard]] apply_result apply(const commit_batch_message& batch);

    /** @return What a peer at a version lacks, or the first part of it. */
    [[nodiscard]] commit_batch_message batch_after(config_version version) const;

    /** @return The state. */
    [[nodiscard]] const mesh_state& state() const noexcept { return state_; }

    /** @return The latest commits, in order. */
    [[nodiscard]] const std::deque<commit>& commits() const noexcept { return commits_; }

    /** @return The whole state as a checkpoint. */
    [[nodiscard]] checkpoint make_checkpoint() const;

private:
    mesh_state state_;
    std::deque<commit> commits_;
};

} // namespace savorywheel

#endif
