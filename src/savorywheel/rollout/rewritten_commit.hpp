#ifndef SAVORYWHEEL_ROLLOUT_REWRITTEN_COMMIT_HPP
#define SAVORYWHEEL_ROLLOUT_REWRITTEN_COMMIT_HPP

#include <savorywheel/config/mesh_state.hpp>

#include <optional>

namespace savorywheel {

/** @brief Author of overrides that were made without the command-line tool. */
inline constexpr const char* unknown_author = "unknown";

/** @brief A commit whose stored object was modified after the commit had been accepted. */
struct rewritten_commit {
    commit accepted;
    /** @brief The commit as currently stored in the platform's service. */
    commit stored;
};

/**
 * @brief Plans overrides by an unknown author that apply the shares of a rewritten commit.
 *
 * Services that are already under an override or no longer exist are skipped.
 * @param state State that the planned commit is based on.
 * @param item The rewritten commit.
 * @param now Calendar time of the override.
 * @return The commit; nothing if no shares differ or all services are skipped.
 */
[[nodiscard]] std::optional<commit>
plan_override_for_rewrite(const mesh_state& state, const rewritten_commit& item, calendar_time now);

} // namespace savorywheel

#endif
