#include <savorywheel/admin/operation_status.hpp>

namespace savorywheel {

std::string_view to_string(operation_status status) noexcept
{
    switch (status) {
    case operation_status::accepted:
        return "accepted";
    case operation_status::refused:
        return "refused";
    case operation_status::unknown:
        return "unknown";
    }
    return "unknown";
}

} // namespace savorywheel
