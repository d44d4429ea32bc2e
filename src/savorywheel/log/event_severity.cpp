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

} // namespace savorywheel
