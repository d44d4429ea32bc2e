#ifndef SAVORYWHEEL_CORE_NETWORK_ENDPOINT_HPP
#define SAVORYWHEEL_CORE_NETWORK_ENDPOINT_HPP

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace savorywheel {

/** @brief IPv4 address and port. */
struct network_endpoint {
    /** @brief IPv4 address in dotted-decimal notation. */
    std::string address;
    /** @brief Port, in host byte order. */
    std::uint16_t port{};

    /** @brief Orders by address as text, then by port. */
    [[nodiscard]] friend auto operator<=>(const network_endpoint&,
                                          const network_endpoint&) = default;
};

/** @return The endpoint as "address:port". */
[[nodiscard]] std::string to_string(const network_endpoint& endpoint);

/** @return True if the address is an IPv4 address and the port is not zero. */
[[nodiscard]] bool is_usable(const network_endpoint& endpoint);

/** @return The endpoint parsed from "address:port"; std::nullopt if the text is malformed. */
[[nodiscard]] std::optional<network_endpoint> parse_endpoint(std::string_view text);

} // namespace savorywheel

#endif
