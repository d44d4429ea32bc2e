#ifndef SAVORYWHEEL_ROUTING_HOST_NAME_HPP
#define SAVORYWHEEL_ROUTING_HOST_NAME_HPP

#include <string_view>

namespace savorywheel {

/**
 * @param authority Host as in a Host header field: a name or an address, with or without a port.
 * @return The host without the port, the dot of the DNS root and the brackets of an IPv6 address;
 * empty if the brackets do not match.
 */
[[nodiscard]] std::string_view host_name_of(std::string_view authority) noexcept;

} // namespace savorywheel

#endif
