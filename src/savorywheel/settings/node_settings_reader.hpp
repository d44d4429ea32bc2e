#ifndef SAVORYWHEEL_SETTINGS_NODE_SETTINGS_READER_HPP
#define SAVORYWHEEL_SETTINGS_NODE_SETTINGS_READER_HPP

#include <savorywheel/core/findings.hpp>
#include <savorywheel/settings/node_settings.hpp>

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace savorywheel {

/** @brief Largest settings, in bytes. */
inline constexpr std::size_t max_settings_bytes = 100'000;

/** @brief Longest time that a setting may give, in milliseconds. */
inline constexpr std::int64_t max_settings_milliseconds = 600'000;

/** @brief Shortest key of an operator, in bytes. */
inline constexpr std::size_t min_operator_key_bytes = 16;

/**
 * @brief Reads and checks the YAML settings of a node.
 * @param text YAML text.
 * @param report Collects all faults.
 * @return The settings; only whole if no fault was added.
 */
[[nodiscard]] node_settings read_node_settings(std::string_view text, findings& report);

} // namespace savorywheel

#endif
