#include <savorywheel/admin/admin_headers.hpp>
#include <savorywheel/config/name_rules.hpp>

#include <fmt/format.h>

#include <charconv>

namespace savorywheel {

outcome<std::optional<config_version>> read_base_version(const http_request& request)
{
    const auto text = find_header(request.headers, base_header);
    if (text.empty()) {
        return std::optional<config_version>{};
    }
    config_version base_version;
    const auto [end, error] =
        std::from_chars(text.data(), text.data() + text.size(), base_version.number);
    if (error != std::errc{} || end != text.data() + text.size()) {
        return failure{failure_code::malformed,
                       fmt::format("{} is not the number of a version", base_header)};
    }
    return std::optional{base_version};
}

outcome<operation_id> read_operation(const http_request& request)
{
    const auto text = find_header(request.headers, operation_header);
    if (!text.empty() && !is_key_segment(text)) {
        return failure{failure_code::malformed,
                       fmt::format("{} is not {}", operation_header, key_segment_rule)};
    }
    return operation_id{text};
}

} // namespace savorywheel
