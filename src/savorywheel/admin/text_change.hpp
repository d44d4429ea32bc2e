#ifndef SAVORYWHEEL_ADMIN_TEXT_CHANGE_HPP
#define SAVORYWHEEL_ADMIN_TEXT_CHANGE_HPP

#include <savorywheel/admin/change_request.hpp>
#include <savorywheel/config/mesh_spec.hpp>
#include <savorywheel/config/mesh_text_reader.hpp>

#include <optional>
#include <string_view>

namespace savorywheel {

/** @brief Change to what an edited text describes. */
class text_change final : public change_request {
public:
    /**
     * @brief Reads the text; what is no sound YAML shows when the change is planned.
     * @param text The operators' text.
     * @param seen Version that its writer had seen; nothing if unknown.
     */
    text_change(std::string_view text, std::optional<config_version> seen);

    /** @return True if the text has the right form, whatever it means. */
    [[nodiscard]] bool well_formed() const noexcept { return form_faults_.empty(); }

    /** @return What the text asks for; only whole if it is well formed. */
    [[nodiscard]] const mesh_spec& wanted() const noexcept { return wanted_; }

    [[nodiscard]] outcome<commit> plan(const mesh_state& state, calendar_time now,
                                       findings& report) const override;

private:
    mesh_text_reader reader_;
    findings form_faults_;
    mesh_spec wanted_;
    std::optional<config_version> seen_;
};

} // namespace savorywheel

#endif
