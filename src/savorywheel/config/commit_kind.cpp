#include <savorywheel/config/commit_kind.hpp>

namespace savorywheel {

std::string_view to_string(commit_kind kind) noexcept
{
    switch (kind) {
    case commit_kind::text_applied:
        return "text applied";
    case commit_kind::override_set:
        return "override set";
    case commit_kind::override_released:
        return "override released";
    case commit_kind::rollout_step:
        return "rollout step";
    case commit_kind::rollout_done:
        return "rollout done";
    case commit_kind::withdrawal:
        return "withdrawal";
    }
    return "text applied";
}

bool is_automatic(commit_kind kind) noexcept
{
    return kind == commit_kind::rollout_step || kind == commit_kind::rollout_done ||
           kind == commit_kind::withdrawal;
}

} // namespace savorywheel
