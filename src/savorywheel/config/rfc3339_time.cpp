#include <savorywheel/config/rfc3339_time.hpp>

#include <fmt/chrono.h>

#include <ctime>

namespace savorywheel {

std::optional<calendar_time> parse_calendar_time(std::string_view text)
{
    const std::string copy{text};
    std::tm parts{};
    const char* end = ::strptime(copy.c_str(), "%Y-%m-%dT%H:%M:%SZ", &parts);
    if (end == nullptr || *end != '\0') {
        return std::nullopt;
    }
    const calendar_time time{std::chrono::seconds{::timegm(&parts)}};
    if (format_calendar_time(time) != text) {
        return std::nullopt; // strptime() accepts dates such as 02-30 and extra white space.
    }
    return time;
}

std::string format_calendar_time(calendar_time time)
{
    const auto seconds = std::chrono::floor<std::chrono::seconds>(time);
    return fmt::format("{:%Y-%m-%dT%H:%M:%SZ}",
                       fmt::gmtime(std::chrono::system_clock::to_time_t(seconds)));
}

} // namespace savorywheel
