#ifndef SAVORYWHEEL_TRANSPORT_DATAGRAM_HANDLER_HPP
#define SAVORYWHEEL_TRANSPORT_DATAGRAM_HANDLER_HPP

#include <savorywheel/core/network_endpoint.hpp>

#include <cstddef>
#include <functional>
#include <span>

namespace savorywheel {

/** @brief Takes a datagram on the receiving thread: its sender, and its payload during the call. */
using datagram_handler =
    std::function<void(const network_endpoint& sender, std::span<const std::byte> payload)>;

} // namespace savorywheel

#endif
