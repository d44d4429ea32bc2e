#ifndef SAVORYWHEEL_ADMIN_CHANGE_PLANNER_HPP
#define SAVORYWHEEL_ADMIN_CHANGE_PLANNER_HPP

#include <savorywheel/config/commit.hpp>
#include <savorywheel/config/mesh_spec.hpp>
#include <savorywheel/config/mesh_state.hpp>

#include <optional>

namespace savorywheel {

/**
 * @brief Plans the commit that makes a state follow an edited text.
 *
 * A service whose target changed gets a move in progress; a new service gets its target at once.
 * A move that replaces one in progress leads away from the same old shares. Overrides stay;
 * find_override_conflicts() tells whether the text may be applied at all.
 * @param state State that the commit follows.
 * @param desired The edited text.
 * @param now Time at which moves begin.
 * @param base_version Version that the writer of the text had seen; that of the state if nothing.
 * @return The commit with its version, base, kind and content; without upserts, removals and
 * domains if the text changes nothing.
 */
[[nodiscard]] commit plan_text_change(const mesh_state& state, const mesh_spec& desired,
                                      calendar_time now,
                                      std::optional<config_version> base_version = std::nullopt);

} // namespace savorywheel

#endif
