#include <standin/support/query.hpp>

#include <charconv>

namespace savorywheel::standin {

namespace {

constexpr int hexadecimal = 16;

std::string decode(std::string_view text)
{
    std::string result;
    for (std::size_t i = 0; i < text.size(); ++i) {
        unsigned code{};
        if (text[i] == '%' && i + 2 < text.size() &&
            std::from_chars(text.data() + i + 1, text.data() + i + 3, code, hexadecimal).ec ==
                std::errc{}) {
            result += static_cast<char>(code);
            i += 2;
        }
        else {
            result += text[i];
        }
    }
    return result;
}

} // namespace

std::string_view path_of(std::string_view target) noexcept
{
    return target.substr(0, target.find('?'));
}

std::string query_text(std::string_view target, std::string_view name)
{
    const auto start = target.find('?');
    auto rest = start == std::string_view::npos ? std::string_view{} : target.substr(start + 1);
    while (!rest.empty()) {
        const auto end = rest.find('&');
        const auto pair = rest.substr(0, end);
        if (pair.starts_with(name) && pair.size() > name.size() && pair[name.size()] == '=') {
            return decode(pair.substr(name.size() + 1));
        }
        rest = end == std::string_view::npos ? std::string_view{} : rest.substr(end + 1);
    }
    return {};
}

std::uint64_t query_number(std::string_view target, std::string_view name, std::uint64_t fallback)
{
    const auto text = query_text(target, name);
    std::uint64_t value{};
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    return error == std::errc{} && !text.empty() ? value : fallback;
}

} // namespace savorywheel::standin
