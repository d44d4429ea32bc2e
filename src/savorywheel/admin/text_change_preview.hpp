#ifndef SAVORYWHEEL_ADMIN_TEXT_CHANGE_PREVIEW_HPP
#define SAVORYWHEEL_ADMIN_TEXT_CHANGE_PREVIEW_HPP

#include <savorywheel/admin/diff_report.hpp>
#include <savorywheel/config/mesh_state.hpp>
#include <savorywheel/core/clock.hpp>

#include <optional>
#include <string_view>

namespace savorywheel {

/**
 * @brief Reports the effects of applying a configuration text to a state (dry run).
 * @param text YAML text.
 * @param state State that the text would change.
 * @param now Calendar time against which deadlines are checked.
 * @param base_version Version on which the author based the text, if known.
 * @return Changes that the text would make, and all findings for which it would be refused.
 */
[[nodiscard]] diff_report preview_text_change(std::string_view text, const mesh_state& state,
                                              calendar_time now,
                                              std::optional<config_version> base_version);

} // namespace savorywheel

#endif
