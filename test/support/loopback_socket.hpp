#ifndef SAVORYWHEEL_TEST_SUPPORT_LOOPBACK_SOCKET_HPP
#define SAVORYWHEEL_TEST_SUPPORT_LOOPBACK_SOCKET_HPP

#include <savorywheel/core/network_endpoint.hpp>

namespace savorywheel::test {

/** @return Socket that listens on a free port of 127.0.0.1, which is stored in the endpoint. */
[[nodiscard]] int listen_on_loopback(network_endpoint& endpoint);

/** @return Socket that is connected to the endpoint; negative if it refused. */
[[nodiscard]] int connect_to(const network_endpoint& endpoint);

} // namespace savorywheel::test

#endif
