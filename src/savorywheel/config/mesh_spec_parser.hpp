#ifndef SAVORYWHEEL_CONFIG_MESH_SPEC_PARSER_HPP
#define SAVORYWHEEL_CONFIG_MESH_SPEC_PARSER_HPP

#include <savorywheel/config/mesh_spec.hpp>
#include <savorywheel/config/position_index.hpp>
#include <savorywheel/core/findings.hpp>

#include <cstddef>
#include <string_view>

namespace savorywheel {

/** @brief Largest operators' text, in bytes; the platform holds no larger value. */
inline constexpr std::size_t max_config_text_bytes = 1'000'000;

/** @brief Reads the operators' YAML text into typed form; it does not judge the meaning. */
class mesh_spec_parser {
public:
    /**
     * @brief Reads a text.
     * @param text YAML text.
     * @param report Collects faults of form: not YAML, unknown keys, values of a wrong type.
     * @return What could be read; only whole if no fault was added.
     */
    [[nodiscard]] mesh_spec read(std::string_view text, findings& report);

    /** @return Where the parts stand in the text that was read last. */
    [[nodiscard]] const position_index& positions() const noexcept { return positions_; }

private:
    position_index positions_;
};

} // namespace savorywheel

#endif
