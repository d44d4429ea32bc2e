#include <savorywheel/membership/server_state.hpp>

namespace savorywheel {

std::string_view to_string(server_state state) noexcept
{
    switch (state) {
    case server_state::absent:
        return "absent";
    case server_state::warming:
        return "warming";
    case server_state::serving:
        return "serving";
    case server_state::draining:
        return "draining";
    }
    return "absent";
}

} // namespace savorywheel
