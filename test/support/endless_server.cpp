#include <support/endless_server.hpp>
#include <support/loopback_socket.hpp>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <utility>

namespace savorywheel::test {

namespace {

constexpr std::size_t min_block_bytes = 65536;

bool send_all(int connection, const std::string& bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const auto size =
            ::send(connection, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (size <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(size);
    }
    return true;
}

} // namespace

endless_server::endless_server(std::string start, const std::string& repeated)
    : start_{std::move(start)}, listener_{listen_on_loopback(endpoint_)}
{
    while (block_.size() < min_block_bytes) {
        block_ += repeated;
    }
    thread_ = std::thread{[this] { run(); }};
}

endless_server::~endless_server()
{
    stopping_ = true;
    ::shutdown(listener_, SHUT_RDWR);
    ::shutdown(connection_, SHUT_RDWR);
    thread_.join();
    ::close(listener_);
}

void endless_server::run()
{
    while (!stopping_) {
        const int connection = ::accept(listener_, nullptr, nullptr);
        if (connection < 0) {
            continue;
        }
        connection_ = connection;
        std::array<char, 4096> request{};
        if (::recv(connection, request.data(), request.size(), 0) > 0 &&
            send_all(connection, start_)) {
            while (!stopping_ && send_all(connection, block_)) {
            }
        }
        connection_ = -1;
        ::close(connection);
        ++closed_connections_;
    }
}

} // namespace savorywheel::test
