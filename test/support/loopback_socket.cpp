#include <arpa/inet.h>
#include <support/loopback_socket.hpp>
#include <sys/socket.h>
#include <unistd.h>

#include <stdexcept>

namespace savorywheel::test {

namespace {

constexpr int backlog = 64;

} // namespace

int listen_on_loopback(network_endpoint& endpoint)
{
    const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof(address);
    auto* generic = reinterpret_cast<sockaddr*>(&address);
    if (::bind(listener, generic, length) != 0 || ::listen(listener, backlog) != 0 ||
        ::getsockname(listener, generic, &length) != 0) {
        throw std::runtime_error{"cannot listen on loopback"};
    }
    endpoint = {"127.0.0.1", ntohs(address.sin_port)};
    return listener;
}

int connect_to(const network_endpoint& endpoint)
{
    const int connection = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(endpoint.port);
    ::inet_pton(AF_INET, endpoint.address.c_str(), &address.sin_addr);
    if (::connect(connection, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0) {
        ::close(connection);
        return -1;
    }
    return connection;
}

} // namespace savorywheel::test
