#ifndef SAVORYWHEEL_ADMIN_CHANGE_PLANNER_HPP
#define SAVORYWHEEL_ADMIN_CHANGE_PLANNER_HPP

#include <savorywheel/config/commit.hpp>
#include <savorywheel/config/mesh_spec.hpp>
#include <savorywheel/config/mesh_state.hpp>

#include <optional>

namespace savorywheel {

/**
 * @brief Plans the commit that applies a configuration text to a state.
 *
 * A changed target starts a move; a new service receives its target weights at once. A move that
 * replaces one in progress keeps the initial weights of the replaced move. Overrides are preserved;
 * find_override_conflicts() checks whether the text may be applied at all.
 * @param state State that precedes the commit.
 * @param desired Desired state, as given by the text.
 * @param now Start time of new moves.
 * @param base_version Version on which the author based the text; std::nullopt for the version of
 * `state`.
 * @return Commit with version, base, kind and content; without upserts, removals and domains if the
 * text changes nothing.
 */
[[nodiscard]] commit plan_text_change(const mesh_state& state, const mesh_spec& desired,
                                      calendar_time now,
                                      std::optional<config_version> base_version = std::nullopt);

} // namespace savorywheel

#endif
