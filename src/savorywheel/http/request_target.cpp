#include <savorywheel/http/request_target.hpp>

#include <algorithm>
#include <array>
#include <optional>
#include <string_view>
#include <utility>

namespace savorywheel {

namespace {

constexpr std::array<std::string_view, 2> schemes{"http://", "https://"};

/** Parts of a target in absolute form. */
struct absolute_target {
    std::string_view authority;
    /** Path and query; the path may be empty. */
    std::string_view path;
};

std::optional<absolute_target> parse_absolute_form(std::string_view target)
{
    if (target.starts_with('/')) {
        return std::nullopt;
    }
    const auto scheme = std::ranges::find_if(schemes, [target](std::string_view item) {
        return equal_ignoring_case(target.substr(0, item.size()), item);
    });
    if (scheme == schemes.end()) {
        return std::nullopt;
    }
    target.remove_prefix(scheme->size());
    const auto end = std::min(target.find_first_of("/?"), target.size());
    if (end == 0) {
        return std::nullopt;
    }
    return absolute_target{target.substr(0, end), target.substr(end)};
}

void set_host(http_request& request, std::string host)
{
    const auto known = std::ranges::find_if(request.headers, [](const http_header& header) {
        return equal_ignoring_case(header.name, "Host");
    });
    if (known == request.headers.end()) {
        request.headers.push_back({"Host", std::move(host)});
    }
    else {
        known->value = std::move(host);
    }
}

} // namespace

void make_origin_form(http_request& request)
{
    const auto parsed = parse_absolute_form(request.target);
    if (!parsed) {
        return;
    }
    set_host(request, std::string{parsed->authority});
    std::string target{parsed->path.starts_with('/') ? "" : "/"};
    target += parsed->path;
    request.target = std::move(target);
}

} // namespace savorywheel
