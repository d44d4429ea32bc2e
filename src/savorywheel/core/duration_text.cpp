#include <savorywheel/core/duration_text.hpp>

#include <charconv>

namespace savorywheel {

namespace {

using fractional_seconds = std::chrono::duration<double>;

/** Sums with points in time stay within the range of the clocks. */
constexpr fractional_seconds max_duration = std::chrono::hours{24 * 365};

} // namespace

std::optional<std::chrono::milliseconds> parse_duration(std::string_view text)
{
    double number{};
    const auto* const text_end = text.data() + text.size();
    const auto [number_end, error] = std::from_chars(text.data(), text_end, number);
    const std::string_view unit_name{number_end, text_end};
    if (error != std::errc{} || (unit_name != "ms" && unit_name != "s")) {
        return std::nullopt;
    }
    const auto parsed_duration = unit_name == "s" ? fractional_seconds{number}
                                                  : fractional_seconds{number / std::milli::den};
    // A comparison with NaN is false.
    if (!(parsed_duration >= fractional_seconds::zero() && parsed_duration <= max_duration)) {
        return std::nullopt;
    }
    return std::chrono::round<std::chrono::milliseconds>(parsed_duration);
}

} // namespace savorywheel
