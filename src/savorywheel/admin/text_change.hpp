#ifndef SAVORYWHEEL_ADMIN_TEXT_CHANGE_HPP
#define SAVORYWHEEL_ADMIN_TEXT_CHANGE_HPP

#include <savorywheel/admin/change_request.hpp>
#include <savorywheel/config/mesh_spec.hpp>
#include <savorywheel/config/mesh_spec_parser.hpp>

#include <optional>
#include <string_view>

namespace savorywheel {

/** @brief Change to what an edited text describes. */
class text_change final : public change_request {
public:
    /**
     * @brief Reads the text; what is no sound YAML shows when the change is planned.
     * @param text The operators' text.
     * @param base_version Version that its writer had seen; nothing if unknown.
     */
    text_change(std::string_view text, std::optional<config_version> base_version);

    /** @return True if the text has the right form, whatever it means. */
    [[nodiscard]] bool well_formed() const noexcept { return syntax_errors_.empty(); }

    /** @return What the text asks for; only whole if it is well formed. */
    [[nodiscard]] const mesh_spec& desired() const noexcept { return desired_; }

    [[nodiscard]] outcome<commit> plan(const mesh_state& state, calendar_time now,
                                       findings& report) const override;

private:
    mesh_spec_parser reader_;
    findings syntax_errors_;
    mesh_spec desired_;
    std::optional<config_version> base_version_;
};

} // namespace savorywheel

#endif
