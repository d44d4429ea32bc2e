#include <savorywheel/http/http_header.hpp>
#include <savorywheel/http/request_target.hpp>

#include <algorithm>

namespace savorywheel {

namespace {

constexpr std::string_view scheme = "http://";

} // namespace

request_target parse_request_target(std::string_view target)
{
    if (!equal_ignoring_case(target.substr(0, scheme.size()), scheme)) {
        return {{}, std::string{target}};
    }
    target.remove_prefix(scheme.size());
    const auto end = std::min(target.find_first_of("/?"), target.size());
    request_target result{std::string{target.substr(0, end)}, {}};
    if (!target.substr(end).starts_with('/')) {
        result.origin_form = '/';
    }
    result.origin_form += target.substr(end);
    return result;
}

} // namespace savorywheel
