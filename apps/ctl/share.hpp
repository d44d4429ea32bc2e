#ifndef SAVORYWHEEL_APPS_CTL_SHARE_HPP
#define SAVORYWHEEL_APPS_CTL_SHARE_HPP

#include <savorywheel/config/version_weight.hpp>

#include <optional>
#include <string_view>

namespace savorywheel::ctl {

/** @return The share that a text such as "v1=12.5" gives in percent; nothing if it is another. */
[[nodiscard]] std::optional<version_weight> parse_share(std::string_view text);

} // namespace savorywheel::ctl

#endif
