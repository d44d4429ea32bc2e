#ifndef SAVORYWHEEL_ADMIN_TEXT_CHANGE_PREVIEW_HPP
#define SAVORYWHEEL_ADMIN_TEXT_CHANGE_PREVIEW_HPP

#include <savorywheel/admin/diff_report.hpp>
#include <savorywheel/config/mesh_state.hpp>
#include <savorywheel/core/clock.hpp>

#include <optional>
#include <string_view>

namespace savorywheel {

/**
 * @brief Judges a text against a state without changing anything.
 * @param text The operators' text.
 * @param state State that the text would change.
 * @param now Calendar time.
 * @param base_version Version that its writer had seen; nothing if unknown.
 * @return What it would change, and all findings for which it would be refused.
 */
[[nodiscard]] diff_report preview_text_change(std::string_view text, const mesh_state& state,
                                              calendar_time now,
                                              std::optional<config_version> base_version);

} // namespace savorywheel

#endif
