#ifndef SAVORYWHEEL_CONFIG_NAME_RULES_HPP
#define SAVORYWHEEL_CONFIG_NAME_RULES_HPP

#include <cstddef>
#include <string_view>

namespace savorywheel {

/** @brief Maximum length of a name, in bytes: the limit of one label of a host name. */
inline constexpr std::size_t max_name_bytes = 63;

/** @brief Description of a valid host label, for error messages. */
inline constexpr std::string_view host_label_rule =
    "1 to 63 lower-case letters, digits and inner hyphens";

/** @brief Description of a valid segment of an object-store key, for error messages. */
inline constexpr std::string_view key_segment_rule =
    "1 to 63 letters, digits, dots, hyphens and underscores, the first a letter or digit";

/** @return True if the name can be used as the host of a request. */
[[nodiscard]] bool is_host_label(std::string_view name) noexcept;

/** @return True if the name can be one segment of a key in the platform's store. */
[[nodiscard]] bool is_key_segment(std::string_view name) noexcept;

} // namespace savorywheel

#endif
