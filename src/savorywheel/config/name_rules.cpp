#include <savorywheel/config/name_rules.hpp>

#include <algorithm>

namespace savorywheel {

namespace {

bool is_digit(char c) noexcept
{
    return c >= '0' && c <= '9';
}

bool is_lower(char c) noexcept
{
    return c >= 'a' && c <= 'z';
}

bool is_alphanumeric(char c) noexcept
{
    return is_digit(c) || is_lower(c) || (c >= 'A' && c <= 'Z');
}

bool has_valid_length(std::string_view name) noexcept
{
    return !name.empty() && name.size() <= max_name_bytes;
}

} // namespace

bool is_host_label(std::string_view name) noexcept
{
    const auto allowed = [](char c) { return is_digit(c) || is_lower(c) || c == '-'; };
    return has_valid_length(name) && name.front() != '-' && name.back() != '-' &&
           std::ranges::all_of(name, allowed);
}

bool is_key_segment(std::string_view name) noexcept
{
    const auto allowed = [](char c) {
        return is_alphanumeric(c) || c == '.' || c == '-' || c == '_';
    };
    return has_valid_length(name) && is_alphanumeric(name.front()) &&
           std::ranges::all_of(name, allowed);
}

} // namespace savorywheel
