#ifndef SAVORYWHEEL_CORE_NETWORK_ENDPOINT_HPP
#define SAVORYWHEEL_CORE_NETWORK_ENDPOINT_HPP

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace savorywheel {

/** @brief IP number and port. */
struct network_endpoint {
    /** @brief IP number in dotted notation. */
    std::string address;
    /** @brief Port, in host byte order. */
    std::uint16_t port{};

    /** @brief Orders endpoints by address, then port. */
    [[nodiscard]] friend auto operator<=>(const network_endpoint&,
                                          const network_endpoint&) = default;
};

/** @return The endpoint as "address:port". */
[[nodiscard]] std::string to_string(const network_endpoint& endpoint);

/**
 * @brief Reads "address:port".
 * @param text The text.
 * @return Nothing if the text is of another form.
 */
[[nodiscard]] std::optional<network_endpoint> parse_endpoint(std::string_view text);

} // namespace savorywheel

#endif
