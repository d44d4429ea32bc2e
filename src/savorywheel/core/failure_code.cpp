#include <savorywheel/core/failure_code.hpp>

namespace savorywheel {

std::string_view to_string(failure_code code) noexcept
{
    switch (code) {
    case failure_code::none:
        return "none";
    case failure_code::invalid_argument:
        return "invalid argument";
    case failure_code::not_found:
        return "not found";
    case failure_code::conflict:
        return "conflict";
    case failure_code::unavailable:
        return "unavailable";
    case failure_code::unknown_outcome:
        return "unknown outcome";
    case failure_code::timeout:
        return "timeout";
    case failure_code::permission:
        return "permission denied";
    case failure_code::overload:
        return "overload";
    case failure_code::malformed:
        return "malformed";
    }
    return "none";
}

} // namespace savorywheel
