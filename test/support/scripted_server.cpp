#include <support/loopback_socket.hpp>
#include <support/scripted_server.hpp>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <utility>

namespace savorywheel::test {

scripted_server::scripted_server(std::vector<scripted_exchange> script)
    : script_{std::move(script)}, listener_{listen_on_loopback(endpoint_)}
{
    thread_ = std::thread{[this] { run(); }};
}

scripted_server::~scripted_server()
{
    stopping_ = true;
    ::shutdown(listener_, SHUT_RDWR);
    thread_.join();
    ::close(listener_);
}

void scripted_server::run()
{
    std::size_t next = 0;
    while (!stopping_) {
        const int connection = ::accept(listener_, nullptr, nullptr);
        if (connection < 0) {
            continue;
        }
        while (receive_request(connection) && next < script_.size()) {
            const auto& exchange = script_[next++];
            static_cast<void>(::send(connection, exchange.response.data(), exchange.response.size(),
                                     MSG_NOSIGNAL));
            if (exchange.reset) {
                // With a linger time of zero, close() sends a reset.
                const linger zero_linger{1, 0};
                ::setsockopt(connection, SOL_SOCKET, SO_LINGER, &zero_linger, sizeof(zero_linger));
            }
            if (exchange.close) {
                break;
            }
        }
        ::close(connection);
        ++closed_connections_;
    }
}

bool scripted_server::receive_request(int connection)
{
    std::string received;
    std::array<char, 4096> chunk{};
    while (received.find("\r\n\r\n") == std::string::npos) {
        const auto size = ::recv(connection, chunk.data(), chunk.size(), 0);
        if (size <= 0) {
            return false;
        }
        received.append(chunk.data(), static_cast<std::size_t>(size));
    }
    ++requests_;
    return true;
}

} // namespace savorywheel::test
