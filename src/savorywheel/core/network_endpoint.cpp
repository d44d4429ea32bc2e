#include <savorywheel/core/network_endpoint.hpp>

#include <arpa/inet.h>

#include <charconv>

namespace savorywheel {

std::string to_string(const network_endpoint& endpoint)
{
    return endpoint.address + ":" + std::to_string(endpoint.port);
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
    in_addr number{};
    if (inet_pton(AF_INET, endpoint.address.c_str(), &number) != 1) {
        return std::nullopt;
    }
    return endpoint;
}

} // namespace savorywheel
