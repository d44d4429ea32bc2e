#include <support/blackhole_proxy.hpp>
#include <support/loopback_socket.hpp>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <utility>

namespace savorywheel::test {

blackhole_proxy::blackhole_proxy(network_endpoint target)
    : target_{std::move(target)}, listener_{listen_on_loopback(endpoint_)}
{
    thread_ = std::thread{[this] { run(); }};
}

blackhole_proxy::~blackhole_proxy()
{
    stopping_ = true;
    ::shutdown(listener_, SHUT_RDWR);
    thread_.join();
    ::close(listener_);
    for (const auto& connection : connections_) {
        ::shutdown(connection->client_socket, SHUT_RDWR);
        ::shutdown(connection->server_socket, SHUT_RDWR);
        for (auto& thread : connection->forwarders) {
            thread.join();
        }
        ::close(connection->client_socket);
        ::close(connection->server_socket);
    }
}

void blackhole_proxy::blackhole_open_connections()
{
    const std::scoped_lock lock{mutex_};
    for (const auto& connection : connections_) {
        connection->blackholed = true;
    }
}

void blackhole_proxy::run()
{
    while (!stopping_) {
        const int client_socket = ::accept(listener_, nullptr, nullptr);
        if (client_socket < 0) {
            continue;
        }
        auto connection = std::make_unique<proxied_connection>();
        connection->client_socket = client_socket;
        connection->server_socket = connect_to(target_);
        auto& opened = *connection;
        opened.forwarders.emplace_back(
            [&opened] { forward(opened, opened.client_socket, opened.server_socket); });
        opened.forwarders.emplace_back(
            [&opened] { forward(opened, opened.server_socket, opened.client_socket); });
        const std::scoped_lock lock{mutex_};
        connections_.push_back(std::move(connection));
        ++accepted_;
    }
}

void blackhole_proxy::forward(proxied_connection& connection, int from, int to)
{
    std::array<char, 16384> bytes{};
    while (true) {
        const auto size = ::recv(from, bytes.data(), bytes.size(), 0);
        if (size <= 0) {
            break;
        }
        if (!connection.blackholed) {
            static_cast<void>(
                ::send(to, bytes.data(), static_cast<std::size_t>(size), MSG_NOSIGNAL));
        }
    }
    if (!connection.blackholed) {
        ::shutdown(to, SHUT_WR);
    }
}

} // namespace savorywheel::test
