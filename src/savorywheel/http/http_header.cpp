#include <savorywheel/http/http_header.hpp>

#include <algorithm>
#include <cctype>

namespace savorywheel {

bool equal_ignoring_case(std::string_view left, std::string_view right) noexcept
{
    return std::ranges::equal(left, right, [](unsigned char a, unsigned char b) {
        return std::tolower(a) == std::tolower(b);
    });
}

std::string_view find_header(std::span<const http_header> headers, std::string_view name) noexcept
{
    return find_header_value(headers, name).value_or(std::string_view{});
}

std::optional<std::string_view> find_header_value(std::span<const http_header> headers,
                                                  std::string_view name) noexcept
{
    const auto found = std::ranges::find_if(headers, [name](const http_header& header) {
        return equal_ignoring_case(header.name, name);
    });
    return found == headers.end() ? std::nullopt : std::optional<std::string_view>{found->value};
}

void replace_header(std::vector<http_header>& headers, std::string_view name,
                    std::string_view value)
{
    std::erase_if(headers, [name](const http_header& header) {
        return equal_ignoring_case(header.name, name);
    });
    if (!value.empty()) {
        headers.push_back({std::string{name}, std::string{value}});
    }
}

} // namespace savorywheel
