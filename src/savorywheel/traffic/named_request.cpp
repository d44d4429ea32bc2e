#include <savorywheel/traffic/named_request.hpp>

namespace savorywheel {

std::string_view to_string(named_request request) noexcept
{
    switch (request) {
    case named_request::own:
        return "own";
    case named_request::other:
        return "other";
    case named_request::none:
        break;
    }
    return "none";
}

} // namespace savorywheel
