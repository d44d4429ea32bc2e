#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <support/client_load.hpp>
#include <support/loopback_socket.hpp>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <string_view>
#include <thread>
#include <utility>

namespace savorywheel::test {

namespace {

using std::chrono::steady_clock;

/** Without a transferred byte for this long, the server has stopped reading. */
constexpr std::chrono::milliseconds quiet_time{700};
constexpr std::chrono::milliseconds step_pause{2};
constexpr std::chrono::minutes run_limit{1};
/** Window of a client that does not read; keeps responses in the server, not in the kernel. */
constexpr int unread_window_bytes = 4096;

} // namespace

client_load::client_load(const network_endpoint& server, std::size_t clients, client_plan plan)
    : plan_{std::move(plan)}
{
    for (std::size_t i = 0; i < clients; ++i) {
        const int socket = connect_to(server);
        if (socket < 0) {
            continue;
        }
        if (!plan_.reads) {
            ::setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &unread_window_bytes,
                         sizeof(unread_window_bytes));
        }
        ::fcntl(socket, F_SETFL, ::fcntl(socket, F_GETFL) | O_NONBLOCK);
        clients_.push_back({socket, 0});
    }
}

client_load::~client_load()
{
    for (const auto& item : clients_) {
        if (item.socket >= 0) {
            ::close(item.socket);
        }
    }
}

bool client_load::run()
{
    const auto end = steady_clock::now() + run_limit;
    auto last_progress = steady_clock::now();
    while (steady_clock::now() - last_progress < quiet_time) {
        bool progress = false;
        for (auto& item : clients_) {
            progress = step(item) || progress;
        }
        const auto now = steady_clock::now();
        if (progress) {
            last_progress = now;
        }
        if (now > end) {
            return false;
        }
        std::this_thread::sleep_for(step_pause);
    }
    return true;
}

bool client_load::step(client& item) const
{
    if (item.socket < 0) {
        return false;
    }
    bool progress = send_some(item);
    if (plan_.reads && item.socket >= 0) {
        std::array<char, 16UL * 1024UL> buffer{};
        const auto size = ::recv(item.socket, buffer.data(), buffer.size(), 0);
        progress = progress || size > 0;
        if (size == 0 || (size < 0 && errno != EAGAIN)) {
            ::close(std::exchange(item.socket, -1));
        }
    }
    return progress;
}

bool client_load::send_some(client& item) const
{
    const auto total = plan_.prefix.size() + plan_.tail.size() * plan_.repetitions;
    if (item.sent >= total) {
        return false;
    }
    std::string_view next{plan_.prefix};
    if (item.sent < plan_.prefix.size()) {
        next.remove_prefix(item.sent);
    }
    else {
        next = plan_.tail;
        next.remove_prefix((item.sent - plan_.prefix.size()) % plan_.tail.size());
    }
    next = next.substr(0, plan_.write_bytes);
    const auto size = ::send(item.socket, next.data(), next.size(), MSG_NOSIGNAL);
    if (size < 0 && errno != EAGAIN) {
        ::close(std::exchange(item.socket, -1));
    }
    item.sent += static_cast<std::size_t>(std::max<ssize_t>(size, 0));
    return size > 0;
}

} // namespace savorywheel::test
