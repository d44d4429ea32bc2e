#ifndef SAVORYWHEEL_TEST_SUPPORT_LOOPBACK_SOCKET_HPP
#define SAVORYWHEEL_TEST_SUPPORT_LOOPBACK_SOCKET_HPP

#include <savorywheel/core/network_endpoint.hpp>

namespace savorywheel::test {

/**
 * @param endpoint Receives 127.0.0.1 and the port.
 * @return Socket that listens on a free port.
 */
[[nodiscard]] int listen_on_loopback(network_endpoint& endpoint);

/** @return Connected socket; negative if the connection failed. */
[[nodiscard]] int connect_to(const network_endpoint& endpoint);

} // namespace savorywheel::test

#endif
