#include <support/early_response_server.hpp>
#include <support/loopback_socket.hpp>
#include <support/wait_until.hpp>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <string_view>
#include <utility>

namespace savorywheel::test {

namespace {

/** Small, so that the rest of a long body waits at the caller. */
constexpr int receive_buffer_bytes = 65536;

} // namespace

early_response_server::early_response_server(std::string response, std::chrono::milliseconds pause)
    : response_{std::move(response)}, pause_{pause}, listener_{listen_on_loopback(endpoint_)}
{
    ::setsockopt(listener_, SOL_SOCKET, SO_RCVBUF, &receive_buffer_bytes,
                 sizeof(receive_buffer_bytes));
    acceptor_ = std::thread{[this] { accept_connections(); }};
}

early_response_server::~early_response_server()
{
    stopping_ = true;
    ::shutdown(listener_, SHUT_RDWR);
    acceptor_.join();
    {
        const std::scoped_lock lock{mutex_};
        for (const int connection : connections_) {
            ::shutdown(connection, SHUT_RDWR);
        }
    }
    for (auto& worker : workers_) {
        worker.join();
    }
    for (const int connection : connections_) {
        ::close(connection);
    }
    ::close(listener_);
}

std::vector<std::string> early_response_server::received() const
{
    const std::scoped_lock lock{mutex_};
    return received_;
}

bool early_response_server::all_closed() const
{
    const std::scoped_lock lock{mutex_};
    return closed_connections_ == connections_.size();
}

void early_response_server::accept_connections()
{
    while (!stopping_) {
        const int connection = ::accept(listener_, nullptr, nullptr);
        if (connection < 0) {
            continue;
        }
        const std::scoped_lock lock{mutex_};
        const auto index = connections_.size();
        connections_.push_back(connection);
        received_.emplace_back();
        workers_.emplace_back([this, connection, index] { serve(connection, index); });
    }
}

void early_response_server::serve(int connection, std::size_t index)
{
    constexpr std::string_view end_of_header = "\r\n\r\n";
    std::string header;
    std::array<char, 65536> chunk{};
    while (true) {
        const auto size = ::recv(connection, chunk.data(), chunk.size(), 0);
        if (size <= 0) {
            const std::scoped_lock lock{mutex_};
            ++closed_connections_;
            return;
        }
        std::string_view bytes{chunk.data(), static_cast<std::size_t>(size)};
        if (!header.ends_with(end_of_header)) {
            const auto before = header.size();
            header.append(bytes);
            const auto end = header.find(end_of_header);
            if (end == std::string::npos) {
                continue;
            }
            header.resize(end + end_of_header.size());
            bytes.remove_prefix(header.size() - before);
            static_cast<void>(::send(connection, response_.data(), response_.size(), MSG_NOSIGNAL));
            static_cast<void>(wait_until([this] { return stopping_.load(); }, pause_));
        }
        const std::scoped_lock lock{mutex_};
        received_[index].append(bytes);
    }
}

} // namespace savorywheel::test
