#include <savorywheel/traffic/caller_terms.hpp>

#include <charconv>
#include <cstdint>

namespace savorywheel {

std::optional<std::chrono::milliseconds> read_patience(std::string_view text) noexcept
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
