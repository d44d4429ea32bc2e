#include <savorywheel/config/move_status.hpp>

namespace savorywheel {

std::string_view to_string(move_status status) noexcept
{
    switch (status) {
    case move_status::in_progress:
        return "in progress";
    case move_status::done:
        return "done";
    case move_status::withdrawn:
        return "withdrawn";
    }
    return "in progress";
}

} // namespace savorywheel
