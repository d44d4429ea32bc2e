#ifndef SAVORYWHEEL_ROLLOUT_REWRITTEN_COMMIT_HPP
#define SAVORYWHEEL_ROLLOUT_REWRITTEN_COMMIT_HPP

#include <savorywheel/config/mesh_state.hpp>

#include <optional>

namespace savorywheel {

/** @brief Author of an override that was made past the tool. */
inline constexpr const char* unknown_author = "unknown";

/** @brief A commit whose object was changed after it had been accepted. */
struct rewritten_commit {
    /** @brief The commit as it was accepted. */
    commit accepted;
    /** @brief The commit as the platform's service holds it now. */
    commit stored;
};

/**
 * @brief Plans overrides of an unknown author with the shares that a rewritten commit asks for.
 *
 * A service under an override keeps it, and so does a service that no longer exists.
 * @param state State that the commit follows.
 * @param item The rewritten commit.
 * @param now When.
 * @return The commit; nothing if no shares differ, or none may be published.
 */
[[nodiscard]] std::optional<commit>
plan_override_for_rewrite(const mesh_state& state, const rewritten_commit& item, calendar_time now);

} // namespace savorywheel

#endif
