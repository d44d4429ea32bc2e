#include <savorywheel/http/response_head.hpp>

#include <string>

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
    return interim_responses_ <= limits_.max_interim_responses;
}

void response_head::start(std::string_view status_line)
{
    const auto space = status_line.find(' ');
    interim_ = space != std::string_view::npos && trim(status_line.substr(space)).starts_with('1');
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
