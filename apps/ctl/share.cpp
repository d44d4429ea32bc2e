#include <ctl/share.hpp>

#include <charconv>
#include <cmath>

namespace savorywheel::ctl {

std::optional<version_weight> parse_share(std::string_view text)
{
    constexpr double permille_per_percent = 10.0;
    const auto sign = text.find('=');
    if (sign == std::string_view::npos || sign == 0) {
        return std::nullopt;
    }
    const auto digits = text.substr(sign + 1);
    double percent{};
    const auto [end, error] =
        std::from_chars(digits.data(), digits.data() + digits.size(), percent);
    if (error != std::errc{} || end != digits.data() + digits.size() ||
        !(percent >= 0.0 && percent <= 100.0)) {
        return std::nullopt;
    }
    const auto permille = std::lround(percent * permille_per_percent);
    return version_weight{version_name{text.substr(0, sign)}, static_cast<std::uint32_t>(permille)};
}

} // namespace savorywheel::ctl
