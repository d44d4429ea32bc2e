#include <arpa/inet.h>
#include <support/scripted_server.hpp>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <stdexcept>
#include <utility>

namespace savorywheel::test {

namespace {

constexpr int backlog = 16;

} // namespace

scripted_server::scripted_server(std::vector<scripted_exchange> script)
    : script_{std::move(script)}, listener_{::socket(AF_INET, SOCK_STREAM, 0)}
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof(address);
    auto* generic = reinterpret_cast<sockaddr*>(&address);
    if (::bind(listener_, generic, length) != 0 || ::listen(listener_, backlog) != 0 ||
        ::getsockname(listener_, generic, &length) != 0) {
        throw std::runtime_error{"cannot listen on loopback"};
    }
    endpoint_ = {"127.0.0.1", ntohs(address.sin_port)};
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
            static_cast<void>(
                ::send(connection, exchange.answer.data(), exchange.answer.size(), MSG_NOSIGNAL));
            if (exchange.close) {
                break;
            }
        }
        ::close(connection);
    }
}

bool scripted_server::receive_request(int connection)
{
    std::string received;
    std::array<char, 4096> part{};
    while (received.find("\r\n\r\n") == std::string::npos) {
        const auto size = ::recv(connection, part.data(), part.size(), 0);
        if (size <= 0) {
            return false;
        }
        received.append(part.data(), static_cast<std::size_t>(size));
    }
    ++requests_;
    return true;
}

} // namespace savorywheel::test
