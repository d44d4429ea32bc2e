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
 * @brief Reads typed values from a node of a YAML document and reports errors with their position.
 * @warning Include this header only in source files that parse YAML, as it includes yaml-cpp.
 */
class yaml_cursor {
public:
    /**
     * @param node Node to read from.
     * @param path Path of the node in the position index.
     * @param positions Receives the position of every part read; must outlive the cursor.
     * @param report Receives errors; must outlive the cursor.
     */
    yaml_cursor(const YAML::Node& node, std::string path, position_index& positions,
                findings& report);

    /**
     * @brief Parses a document whose root is a map.
     * @param text YAML text.
     * @param positions Receives the position of every part read; must outlive the cursor.
     * @param report Receives errors; must outlive the cursor.
     * @return Cursor on the root; std::nullopt if the text is rejected.
     */
    [[nodiscard]] static std::optional<yaml_cursor>
    parse(std::string_view text, position_index& positions, findings& report);

    /** @brief Reports unknown and duplicate keys of the map. */
    void expect_keys(std::initializer_list<std::string_view> known) const;

    /** @return True if the map has the key. */
    [[nodiscard]] bool has(std::string_view key) const;

    /** @return String under a required key; empty after an error. */
    [[nodiscard]] std::string text(std::string_view key) const;

    /** @return String under an optional key, or the fallback. */
    [[nodiscard]] std::string text_or(std::string_view key, std::string_view fallback) const;

    /** @return Integer under a required key; zero after an error. */
    [[nodiscard]] std::int64_t number(std::string_view key) const;

    /** @return Integer under an optional key, or the fallback. */
    [[nodiscard]] std::int64_t number_or(std::string_view key, std::int64_t fallback) const;

    /** @return Number under a required key; zero after an error. */
    [[nodiscard]] double decimal(std::string_view key) const;

    /** @return Boolean under an optional key, or the fallback. */
    [[nodiscard]] bool bool_or(std::string_view key, bool fallback) const;

    /** @return Elements of an optional list of strings. */
    [[nodiscard]] std::vector<std::string> text_list(std::string_view key) const;

    /**
     * @return Elements of an optional list of secrets, which no message quotes; an element that is
     * not a text is empty.
     */
    [[nodiscard]] std::vector<std::string> secret_list(std::string_view key) const;

    /** @return Number under an optional key, or the fallback. */
    [[nodiscard]] double decimal_or(std::string_view key, double fallback) const;

    /** @return Cursors on the elements of an optional list of maps. */
    [[nodiscard]] std::vector<yaml_cursor> map_list(std::string_view key) const;

    /** @return Cursors on the elements of a required, non-empty list of maps. */
    [[nodiscard]] std::vector<yaml_cursor> required_map_list(std::string_view key) const;

    /** @return Cursor on an optional map. */
    [[nodiscard]] std::optional<yaml_cursor> map(std::string_view key) const;

    /** @return Position of the value under the key; that of this node if there is none. */
    [[nodiscard]] text_position position_of(std::string_view key) const;

    /** @brief Reports an error at the position of the value under the key. */
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
