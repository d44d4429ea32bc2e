#ifndef SAVORYWHEEL_ADMIN_OVERRIDE_CONFLICTS_HPP
#define SAVORYWHEEL_ADMIN_OVERRIDE_CONFLICTS_HPP

#include <savorywheel/config/mesh_spec.hpp>
#include <savorywheel/config/mesh_state.hpp>
#include <savorywheel/config/position_index.hpp>
#include <savorywheel/core/findings.hpp>

#include <optional>

namespace savorywheel {

/**
 * @brief Finds conflicts of a configuration text with overrides in force.
 *
 * A text may change the target of a service with an override only if its base version includes the
 * override; the override then stays in force and the new target applies after its release. A text
 * may never remove a service with an override.
 * @param state State that the text would change.
 * @param desired Desired state, as given by the text.
 * @param base_version Version on which the author based the text; std::nullopt counts as version
 * zero.
 * @param positions Positions of the parts of the text.
 * @param report Receives each conflict with its position.
 */
void find_override_conflicts(const mesh_state& state, const mesh_spec& desired,
                             std::optional<config_version> base_version,
                             const position_index& positions, findings& report);

} // namespace savorywheel

#endif
