#include <savorywheel/config/key_redactor.hpp>

#include <array>

namespace savorywheel {

key_redactor::key_redactor(std::string_view text) : text_{text}, line_starts_{0}
{
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '\n') {
            line_starts_.push_back(i + 1);
        }
    }
}

bool key_redactor::replace(text_position place, std::string_view key)
{
    if (place.line == 0 || place.line > line_starts_.size()) {
        return false;
    }
    const auto start = line_starts_[place.line - 1] + place.column - 1;
    if (start < end_ || start >= text_.size()) {
        return false;
    }
    const std::array quotes{std::string_view{}, std::string_view{"\""}, std::string_view{"'"}};
    for (const auto quote : quotes) {
        const auto source = std::string{quote}.append(key).append(quote);
        if (text_.substr(start).starts_with(source)) {
            replaced_.append(text_.substr(end_, start - end_));
            replaced_.append("\"").append(to_string(digest_of_key(key))).append("\"");
            end_ = start + source.size();
            return true;
        }
    }
    return false;
}

std::string key_redactor::text() const
{
    return replaced_ + std::string{text_.substr(end_)};
}

} // namespace savorywheel
