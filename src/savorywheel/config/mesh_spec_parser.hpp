#ifndef SAVORYWHEEL_CONFIG_MESH_SPEC_PARSER_HPP
#define SAVORYWHEEL_CONFIG_MESH_SPEC_PARSER_HPP

#include <savorywheel/config/mesh_spec.hpp>
#include <savorywheel/config/position_index.hpp>
#include <savorywheel/core/findings.hpp>

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace savorywheel {

class yaml_cursor;

/** @brief Maximum size of a configuration text, in bytes: the platform's limit per value. */
inline constexpr std::size_t max_config_text_bytes = 1'000'000;

/** @brief Parses a YAML configuration text; mesh_validator checks its semantics. */
class mesh_spec_parser {
public:
    /**
     * @brief Parses a configuration text.
     * @param text YAML text.
     * @param report Receives syntax errors: invalid YAML, unknown keys, values of a wrong type.
     * @return The parsed parts; complete only if no error was reported.
     */
    [[nodiscard]] mesh_spec read(std::string_view text, findings& report);

    /** @return Positions of the parts in the text that was parsed last. */
    [[nodiscard]] const position_index& positions() const noexcept { return positions_; }

    /** @return The text that was parsed last, with digests in place of API keys. */
    [[nodiscard]] const std::string& text_without_keys() const noexcept
    {
        return text_without_keys_;
    }

private:
    [[nodiscard]] std::vector<tenant_spec> read_tenants(const yaml_cursor& root,
                                                        std::string_view text, findings& report);

    position_index positions_;
    std::string text_without_keys_;
};

} // namespace savorywheel

#endif
