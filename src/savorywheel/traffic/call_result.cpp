#include <savorywheel/traffic/call_result.hpp>

namespace savorywheel {

std::string_view to_string(call_result result) noexcept
{
    switch (result) {
    case call_result::answered:
        return "answered";
    case call_result::not_run:
        return "not-run";
    case call_result::unknown:
        return "unknown";
    }
    return "unknown";
}

} // namespace savorywheel
