#ifndef SAVORYWHEEL_APPS_CTL_SHARE_HPP
#define SAVORYWHEEL_APPS_CTL_SHARE_HPP

#include <savorywheel/config/version_weight.hpp>

#include <optional>
#include <string_view>

namespace savorywheel::ctl {

/** @return Version weight parsed from a share in percent such as "v1=12.5"; empty if malformed. */
[[nodiscard]] std::optional<version_weight> parse_share(std::string_view text);

} // namespace savorywheel::ctl

#endif
