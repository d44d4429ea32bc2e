#include <savorywheel/traffic/abandoned_calls.hpp>

#include <algorithm>

namespace savorywheel {

std::optional<monotonic_time> abandoned_calls::next_end() const
{
    const auto first = std::ranges::min_element(until_);
    return first == until_.end() ? std::nullopt : std::optional{*first};
}

} // namespace savorywheel
