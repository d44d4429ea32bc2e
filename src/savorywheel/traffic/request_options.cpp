#include <savorywheel/traffic/request_options.hpp>

#include <charconv>
#include <cstdint>

namespace savorywheel {

std::optional<std::chrono::milliseconds> parse_timeout(std::string_view text) noexcept
{
    const auto* last = text.data() + text.size();
    std::int64_t number{};
    const auto [end, error] = std::from_chars(text.data(), last, number);
    if (error != std::errc{} || end != last || number <= 0) {
        return std::nullopt;
    }
    return std::chrono::milliseconds{number};
}

} // namespace savorywheel
