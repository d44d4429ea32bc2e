#ifndef SAVORYWHEEL_ADMIN_OVERRIDE_CONFLICTS_HPP
#define SAVORYWHEEL_ADMIN_OVERRIDE_CONFLICTS_HPP

#include <savorywheel/config/mesh_spec.hpp>
#include <savorywheel/config/mesh_state.hpp>
#include <savorywheel/config/position_index.hpp>
#include <savorywheel/core/findings.hpp>

#include <optional>

namespace savorywheel {

/**
 * @brief Finds where an edited text would undo an override.
 *
 * A text may change the shares of a service under an override only if its writer had seen the
 * override; the override then stays and the new shares wait for its release. A text never removes
 * a service under an override.
 * @param state State that the text would change.
 * @param desired The edited text.
 * @param base_version Version that the writer had seen; nothing if unknown, which counts as none.
 * @param positions Where the parts of the text stand.
 * @param report Receives every conflict with its place.
 */
void find_override_conflicts(const mesh_state& state, const mesh_spec& desired,
                             std::optional<config_version> base_version,
                             const position_index& positions, findings& report);

} // namespace savorywheel

#endif
