#include <savorywheel/encoding/json_fields.hpp>
#include <savorywheel/encoding/json_slices.hpp>

#include <charconv>

namespace savorywheel {

namespace {

constexpr std::string_view whitespace = " \t\r\n";

std::string_view trimmed(std::string_view text)
{
    const auto first = text.find_first_not_of(whitespace);
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(whitespace) - first + 1);
}

/** @return Position after the string that begins at `start`; npos if it does not end. */
std::size_t end_of_string(std::string_view text, std::size_t start)
{
    for (auto quote = text.find('"', start + 1); quote != std::string_view::npos;
         quote = text.find('"', quote + 1)) {
        // An odd number of backslashes escapes the quote.
        const auto before = text.substr(start + 1, quote - start - 1);
        const auto last = before.find_last_not_of('\\');
        const auto backslashes =
            last == std::string_view::npos ? before.size() : before.size() - last - 1;
        if (backslashes % 2 == 0) {
            return quote + 1;
        }
    }
    return std::string_view::npos;
}

using slices = std::vector<std::string_view>;

/**
 * Splits a text at each comma outside of strings and brackets; nothing if a string does not end or
 * the brackets are not balanced.
 */
std::optional<slices> split(std::string_view text)
{
    slices parts;
    std::size_t depth{};
    std::size_t start{};
    for (std::size_t i = 0; i < text.size();) {
        const char c = text[i];
        if (c == '"') {
            i = end_of_string(text, i);
            if (i == std::string_view::npos) {
                return std::nullopt;
            }
            continue;
        }
        if (c == ',' && depth == 0) {
            parts.push_back(trimmed(text.substr(start, i - start)));
            start = i + 1;
        }
        else if (c == '[' || c == '{') {
            ++depth;
        }
        else if ((c == ']' || c == '}') && depth-- == 0) {
            return std::nullopt;
        }
        ++i;
    }
    if (depth > 0) {
        return std::nullopt;
    }
    parts.push_back(trimmed(text.substr(start)));
    return parts;
}

/** Splits the content of an array or object at its commas. */
std::optional<slices> split_content(std::string_view text, char opening, char closing)
{
    text = trimmed(text);
    if (text.size() < 2 || text.front() != opening || text.back() != closing) {
        return std::nullopt;
    }
    text = trimmed(text.substr(1, text.size() - 2));
    return text.empty() ? slices{} : split(text);
}

/** Keys with escape sequences are rare and are decoded by the parser. */
bool is_key(std::string_view text, std::string_view key)
{
    if (text.find('\\') != std::string_view::npos) {
        return json_text(text) == key;
    }
    return text.size() == key.size() + 2 && text.substr(1, key.size()) == key;
}

} // namespace

std::optional<std::vector<std::string_view>> json_elements(std::string_view text)
{
    return split_content(text, '[', ']');
}

std::optional<std::string_view> json_member(std::string_view text, std::string_view key)
{
    std::optional<std::string_view> value;
    for (const auto member : split_content(text, '{', '}').value_or(slices{})) {
        const auto key_end =
            member.starts_with('"') ? end_of_string(member, 0) : std::string_view::npos;
        if (key_end == std::string_view::npos || !is_key(member.substr(0, key_end), key)) {
            continue;
        }
        const auto rest = trimmed(member.substr(key_end));
        if (rest.starts_with(':')) {
            value = trimmed(rest.substr(1));
        }
    }
    return value;
}

std::optional<std::string> json_text(std::string_view text)
{
    if (!text.starts_with('"')) {
        return std::nullopt;
    }
    const auto value = json::parse(text, nullptr, false);
    return value.is_string() ? std::optional{value.get<std::string>()} : std::nullopt;
}

std::optional<std::uint64_t> json_number(std::string_view text)
{
    std::uint64_t number{};
    const auto* const text_end = text.data() + text.size();
    const auto [end, error] = std::from_chars(text.data(), text_end, number);
    return error == std::errc{} && end == text_end ? std::optional{number} : std::nullopt;
}

} // namespace savorywheel
