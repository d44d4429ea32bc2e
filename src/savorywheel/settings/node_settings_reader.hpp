#ifndef SAVORYWHEEL_SETTINGS_NODE_SETTINGS_READER_HPP
#define SAVORYWHEEL_SETTINGS_NODE_SETTINGS_READER_HPP

#include <savorywheel/core/findings.hpp>
#include <savorywheel/settings/node_settings.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace savorywheel {

/** @brief Maximum size of a settings file, in bytes. */
inline constexpr std::size_t max_settings_bytes = 100'000;

/** @brief Maximum of settings that are durations, in milliseconds. */
inline constexpr std::int64_t max_settings_milliseconds = 600'000;

/**
 * @brief Minimum of the limit on the age of what a node knows of API keys: the safety margin and
 * one read of the store in a remote region must fit in it.
 */
inline constexpr std::chrono::milliseconds min_key_confirmation_limit{500};

/** @brief Minimum length of an operator's key, in bytes. */
inline constexpr std::size_t min_operator_key_bytes = 16;

/**
 * @brief Parses and validates the YAML settings of a node.
 * @param text YAML document.
 * @param report Collects all faults.
 * @return The settings; complete only if no fault was reported.
 */
[[nodiscard]] node_settings read_node_settings(std::string_view text, findings& report);

} // namespace savorywheel

#endif
