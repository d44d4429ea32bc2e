#include <savorywheel/membership/member_status.hpp>

namespace savorywheel {

std::string_view to_string(member_status status) noexcept
{
    switch (status) {
    case member_status::alive:
        return "alive";
    case member_status::suspect:
        return "suspect";
    case member_status::dead:
        return "dead";
    }
    return "alive";
}

} // namespace savorywheel
