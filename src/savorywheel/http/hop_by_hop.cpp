#include <savorywheel/http/hop_by_hop.hpp>

#include <algorithm>
#include <array>
#include <string_view>

namespace savorywheel {

namespace {

constexpr std::array<std::string_view, 8> hop_by_hop_headers{
    "Connection", "Keep-Alive", "Transfer-Encoding", "Content-Length",
    "TE",         "Trailer",    "Upgrade",           "Proxy-Connection"};

bool is_hop_by_hop(const http_header& header)
{
    return std::ranges::any_of(hop_by_hop_headers, [&header](std::string_view name) {
        return equal_ignoring_case(name, header.name);
    });
}

} // namespace

void remove_hop_by_hop_headers(std::vector<http_header>& headers)
{
    std::erase_if(headers, is_hop_by_hop);
}

} // namespace savorywheel
