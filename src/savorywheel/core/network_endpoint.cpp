#include <savorywheel/core/network_endpoint.hpp>

#include <arpa/inet.h>

#include <charconv>

namespace savorywheel {

namespace {

bool is_address(const std::string& text)
{
    in_addr number{};
    // Text after an embedded zero byte would be ignored.
    return text.find('\0') == std::string::npos && inet_pton(AF_INET, text.c_str(), &number) == 1;
}

} // namespace

std::string to_string(const network_endpoint& endpoint)
{
    return endpoint.address + ":" + std::to_string(endpoint.port);
}

bool is_usable(const network_endpoint& endpoint)
{
    return endpoint.port != 0 && is_address(endpoint.address);
}

std::optional<network_endpoint> parse_endpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0) {
        return std::nullopt;
    }
    const auto digits = text.substr(colon + 1);
    std::uint16_t port{};
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (error != std::errc{} || end != digits.data() + digits.size() || digits.empty()) {
        return std::nullopt;
    }
    network_endpoint endpoint{std::string{text.substr(0, colon)}, port};
    if (!is_address(endpoint.address)) {
        return std::nullopt;
    }
    return endpoint;
}

} // namespace savorywheel
