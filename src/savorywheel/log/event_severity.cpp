#include <savorywheel/log/event_severity.hpp>

namespace savorywheel {

std::string_view to_string(event_severity severity) noexcept
{
    switch (severity) {
    case event_severity::info:
        return "info";
    case event_severity::warning:
        return "warning";
    case event_severity::error:
        return "error";
    }
    return "info";
}

std::optional<event_severity> parse_severity(std::string_view text) noexcept
{
    for (const auto severity :
         {event_severity::info, event_severity::warning, event_severity::error}) {
        if (to_string(severity) == text) {
            return severity;
        }
    }
    return std::nullopt;
}

} // namespace savorywheel
