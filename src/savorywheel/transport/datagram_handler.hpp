#ifndef SAVORYWHEEL_TRANSPORT_DATAGRAM_HANDLER_HPP
#define SAVORYWHEEL_TRANSPORT_DATAGRAM_HANDLER_HPP

#include <savorywheel/core/network_endpoint.hpp>

#include <cstddef>
#include <functional>
#include <span>

namespace savorywheel {

/** @brief Called on the receive thread for each datagram; the payload is valid during the call. */
using datagram_handler =
    std::function<void(const network_endpoint& sender, std::span<const std::byte> payload)>;

} // namespace savorywheel

#endif
