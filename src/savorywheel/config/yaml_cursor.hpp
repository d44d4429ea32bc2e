#ifndef SAVORYWHEEL_CONFIG_YAML_CURSOR_HPP
#define SAVORYWHEEL_CONFIG_YAML_CURSOR_HPP

#include <savorywheel/config/position_index.hpp>
#include <savorywheel/core/findings.hpp>

#include <yaml-cpp/yaml.h>

#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace savorywheel {

/**
 * @brief Position in a YAML document that reads typed values and reports faults with their place.
 * @warning Include it only in source files that read YAML; it brings yaml-cpp.
 */
class yaml_cursor {
public:
    /**
     * @param node Node that the cursor stands on.
     * @param path Path of the node, for the place index.
     * @param positions Receives the place of every part that is read; must outlive the cursor.
     * @param report Collects faults; must outlive the cursor.
     */
    yaml_cursor(const YAML::Node& node, std::string path, position_index& positions,
                findings& report);

    /**
     * @brief Parses a document.
     * @param text YAML text.
     * @param positions Receives places.
     * @param report Collects faults.
     * @return The cursor on the root; nothing if the text is not YAML.
     */
    [[nodiscard]] static std::optional<yaml_cursor>
    parse(std::string_view text, position_index& positions, findings& report);

    /** @brief Reports each key of the map that is not among the known ones. */
    void expect_keys(std::initializer_list<std::string_view> known) const;

    /** @return True if the map has the key. */
    [[nodiscard]] bool has(std::string_view key) const;

    /** @return The text under a required key; empty after a fault. */
    [[nodiscard]] std::string text(std::string_view key) const;

    /** @return The text under an optional key, or the fallback. */
    [[nodiscard]] std::string text_or(std::string_view key, std::string_view fallback) const;

    /** @return The whole number under a required key; zero after a fault. */
    [[nodiscard]] std::int64_t number(std::string_view key) const;

    /** @return The whole number under an optional key, or the fallback. */
    [[nodiscard]] std::int64_t number_or(std::string_view key, std::int64_t fallback) const;

    /** @return The decimal number under a required key; zero after a fault. */
    [[nodiscard]] double decimal(std::string_view key) const;

    /** @return The truth value under an optional key, or the fallback. */
    [[nodiscard]] bool bool_or(std::string_view key, bool fallback) const;

    /** @return The texts of an optional list of texts. */
    [[nodiscard]] std::vector<std::string> text_list(std::string_view key) const;

    /** @return A cursor on each element of an optional list of maps. */
    [[nodiscard]] std::vector<yaml_cursor> map_list(std::string_view key) const;

    /** @return A cursor on each element of a required list of at least one map. */
    [[nodiscard]] std::vector<yaml_cursor> required_map_list(std::string_view key) const;

    /** @return A cursor on an optional map. */
    [[nodiscard]] std::optional<yaml_cursor> map(std::string_view key) const;

    /** @return Where the value under the key stands, or else the cursor's own place. */
    [[nodiscard]] text_position position_of(std::string_view key) const;

    /** @brief Reports a fault at the value under the key. */
    void report_error(std::string_view key, std::string found, std::string expected) const;

private:
    [[nodiscard]] YAML::Node child(std::string_view key) const;
    [[nodiscard]] std::optional<std::string> scalar(std::string_view key, bool required,
                                                    std::string_view expected) const;

    YAML::Node node_;
    std::string path_;
    position_index* positions_;
    findings* report_;
};

} // namespace savorywheel

#endif
