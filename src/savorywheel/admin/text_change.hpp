#ifndef SAVORYWHEEL_ADMIN_TEXT_CHANGE_HPP
#define SAVORYWHEEL_ADMIN_TEXT_CHANGE_HPP

#include <savorywheel/admin/change_request.hpp>
#include <savorywheel/config/mesh_spec.hpp>
#include <savorywheel/config/mesh_spec_parser.hpp>

#include <optional>
#include <string_view>

namespace savorywheel {

/** @brief Change that applies a configuration text. */
class text_change final : public change_request {
public:
    /**
     * @brief Parses the text; plan() reports its syntax errors.
     * @param text YAML text.
     * @param base_version Version on which the author based the text, if known.
     */
    text_change(std::string_view text, std::optional<config_version> base_version);

    /** @return True if the text has no syntax errors; its semantics are not checked. */
    [[nodiscard]] bool well_formed() const noexcept { return syntax_errors_.empty(); }

    /** @return Desired state given by the text; complete only if it is well formed. */
    [[nodiscard]] const mesh_spec& desired() const noexcept { return desired_; }

    /** @return The text to keep, with digests in place of API keys. */
    [[nodiscard]] const std::string& text_without_keys() const noexcept
    {
        return reader_.text_without_keys();
    }

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
