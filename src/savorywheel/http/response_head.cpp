#include <savorywheel/http/response_head.hpp>

#include <charconv>
#include <optional>
#include <string>
#include <system_error>

namespace savorywheel {

namespace {

std::string_view trim(std::string_view text)
{
    const auto first = text.find_first_not_of(" \t\r\n");
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(" \t\r\n") - first + 1);
}

/**
 * @return Status code of a line "HTTP/1.1 200 OK", whose text after the code may be missing; none
 * unless it has three digits and is 100 to 599 (RFC 9110, 15).
 */
std::optional<int> parse_status(std::string_view status_line)
{
    constexpr std::size_t digits = 3;
    const auto space = status_line.find(' ');
    if (space == std::string_view::npos) {
        return std::nullopt;
    }
    const auto rest = trim(status_line.substr(space));
    const auto code = rest.substr(0, rest.find(' '));
    int status{};
    const auto parsed = std::from_chars(code.data(), code.data() + code.size(), status);
    const bool valid = code.size() == digits && parsed.ec == std::errc{} &&
                       parsed.ptr == code.data() + code.size() && status >= 100 && status <= 599;
    return valid ? std::optional{status} : std::nullopt;
}

} // namespace

bool response_head::add_line(std::string_view line)
{
    bytes_ += line.size();
    if (bytes_ > limits_.max_header_bytes) {
        return false;
    }
    if (complete_) {
        return true;
    }
    if (!started_) {
        start(line);
    }
    else if (trim(line).empty()) {
        started_ = false;
        complete_ = !interim_;
    }
    else {
        add_field(line);
    }
    return valid_ && interim_responses_ <= limits_.max_interim_responses;
}

void response_head::start(std::string_view status_line)
{
    const auto status = parse_status(status_line);
    valid_ = valid_ && status;
    interim_ = status && *status < 200;
    interim_responses_ += interim_ ? 1 : 0;
    started_ = true;
    fields_.clear();
}

void response_head::add_field(std::string_view line)
{
    if (line.starts_with(' ') || line.starts_with('\t')) {
        // Continues the value of the field before (RFC 9112, 5.2).
        if (!fields_.empty()) {
            fields_.back().value.append(" ").append(trim(line));
        }
        return;
    }
    if (const auto colon = line.find(':'); colon != std::string_view::npos) {
        fields_.push_back(
            {std::string{trim(line.substr(0, colon))}, std::string{trim(line.substr(colon + 1))}});
    }
}

} // namespace savorywheel
