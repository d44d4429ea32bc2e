#include <savorywheel/http/http_header.hpp>
#include <savorywheel/http/oversized_length.hpp>

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <system_error>

namespace savorywheel {

namespace {

constexpr std::string_view line_end = "\r\n";
constexpr std::string_view length_name = "Content-Length";
constexpr std::string_view blanks = " \t";

std::string_view trim(std::string_view text)
{
    text.remove_prefix(std::min(text.find_first_not_of(blanks), text.size()));
    return text.substr(0, text.find_last_not_of(blanks) + 1);
}

bool exceeds_all_numbers(std::string_view text)
{
    std::uint64_t number{};
    const auto* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, number);
    return parsed.ec == std::errc::result_out_of_range && parsed.ptr == end;
}

} // namespace

bool has_oversized_length(std::string_view header) noexcept
{
    while (!header.empty()) {
        const auto end = std::min(header.find(line_end), header.size());
        const auto line = header.substr(0, end);
        const auto colon = line.find(':');
        if (colon != std::string_view::npos &&
            equal_ignoring_case(line.substr(0, colon), length_name)) {
            return exceeds_all_numbers(trim(line.substr(colon + 1)));
        }
        header.remove_prefix(std::min(end + line_end.size(), header.size()));
    }
    return false;
}

} // namespace savorywheel
