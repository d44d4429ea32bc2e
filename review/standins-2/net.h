// Sockets, HTTP messages and records for the stand-ins of the second review.
#ifndef REVIEW_2_NET_H
#define REVIEW_2_NET_H

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

inline std::int64_t now_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

inline std::int64_t unix_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

inline void sleep_ms(std::int64_t length)
{
    if (length > 0) {
        std::this_thread::sleep_for(std::chrono::milliseconds{length});
    }
}

// Appends whole lines "TIME TEXT" to a file that several processes share. The time is in
// milliseconds since the origin, which the trial hands to its servers.
class record {
public:
    record(const std::string& path, std::int64_t origin)
        : file_{::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644)},
          origin_{origin}
    {
    }
    void write(const std::string& text) const { write_at(now_ms(), text); }
    void write_at(std::int64_t time, const std::string& text) const
    {
        char stamp[32];
        std::snprintf(stamp, sizeof(stamp), "%9.3f ", static_cast<double>(time - origin_) / 1000.0);
        const auto line = stamp + text + "\n";
        if (::write(file_, line.data(), line.size()) < 0) {
            std::perror("record");
        }
    }

private:
    int file_;
    std::int64_t origin_;
};

struct message {
    std::string start; // request or status line
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    [[nodiscard]] std::string header(const char* name) const
    {
        for (const auto& [key, value] : headers) {
            if (::strcasecmp(key.c_str(), name) == 0) {
                return value;
            }
        }
        return {};
    }
    [[nodiscard]] std::string word(int number) const
    {
        std::size_t from = 0;
        for (; number > 0 && from != std::string::npos; --number) {
            from = start.find(' ', from);
            from = from == std::string::npos ? from : from + 1;
        }
        return from == std::string::npos ? std::string{}
                                         : start.substr(from, start.find(' ', from) - from);
    }
    [[nodiscard]] int status() const { return std::atoi(word(1).c_str()); }
};

inline sockaddr_in address_of(const std::string& ip, int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

inline int listen_on(const std::string& ip, int port)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const auto address = address_of(ip, port);
    if (::bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0 ||
        ::listen(fd, 256) != 0) {
        ::close(fd);
        return -1;
    }
    return fd;
}

// Returns a connected socket, or -1 after the timeout.
inline int connect_to(const std::string& ip, int port, int timeout_ms,
                      const std::string& from = {})
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (!from.empty()) {
        const auto local = address_of(from, 0);
        ::bind(fd, reinterpret_cast<const sockaddr*>(&local), sizeof(local));
    }
    const auto address = address_of(ip, port);
    bool open = ::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0;
    if (!open && errno == EINPROGRESS) {
        pollfd item{fd, POLLOUT, 0};
        int error = 1;
        socklen_t size = sizeof(error);
        open = ::poll(&item, 1, timeout_ms) == 1 &&
               ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) == 0 && error == 0;
    }
    if (!open) {
        ::close(fd);
        return -1;
    }
    ::fcntl(fd, F_SETFL, ::fcntl(fd, F_GETFL) & ~O_NONBLOCK);
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return fd;
}

inline bool send_all(int fd, const std::string& bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const auto count = ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

// Reads one message with a Content-Length or in chunks; false at the end of the connection or
// after the time. "rest" keeps what was read beyond it.
inline bool read_message(int fd, std::string& rest, message& result, std::int64_t until)
{
    const auto more = [&] {
        pollfd item{fd, POLLIN, 0};
        const auto left = until - now_ms();
        if (left <= 0 || ::poll(&item, 1, static_cast<int>(left)) != 1) {
            return false;
        }
        char bytes[16384];
        const auto count = ::recv(fd, bytes, sizeof(bytes), 0);
        if (count <= 0) {
            return false;
        }
        rest.append(bytes, static_cast<std::size_t>(count));
        return true;
    };
    std::size_t end;
    while ((end = rest.find("\r\n\r\n")) == std::string::npos) {
        if (!more()) {
            return false;
        }
    }
    result = {};
    std::size_t from = 0;
    while (from < end) {
        const auto line_end = rest.find("\r\n", from);
        const auto line = rest.substr(from, line_end - from);
        from = line_end + 2;
        if (result.start.empty()) {
            result.start = line;
            continue;
        }
        const auto colon = line.find(':');
        const auto value = line.find_first_not_of(' ', colon + 1);
        result.headers.emplace_back(line.substr(0, colon),
                                    value == std::string::npos ? "" : line.substr(value));
    }
    rest.erase(0, end + 4);
    if (result.header("Transfer-Encoding") == "chunked") {
        while (true) {
            std::size_t line_end;
            while ((line_end = rest.find("\r\n")) == std::string::npos) {
                if (!more()) {
                    return false;
                }
            }
            const auto size = std::strtoul(rest.c_str(), nullptr, 16);
            while (rest.size() < line_end + 4 + size) {
                if (!more()) {
                    return false;
                }
            }
            result.body += rest.substr(line_end + 2, size);
            rest.erase(0, line_end + 4 + size);
            if (size == 0) {
                return true;
            }
        }
    }
    const auto length = std::strtoul(result.header("Content-Length").c_str(), nullptr, 10);
    while (rest.size() < length) {
        if (!more()) {
            return false;
        }
    }
    result.body = rest.substr(0, length);
    rest.erase(0, length);
    return true;
}

inline std::string make_response(int status, const std::string& headers, const std::string& body)
{
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + headers +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Accepts connections for ever; each has a thread that calls the handler for each message, until
// the handler returns false.
inline void serve(int listener,
                  const std::function<bool(int, const message&)>& handler)
{
    while (true) {
        const int fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) {
            if (errno == EBADF || errno == EINVAL) {
                return;
            }
            continue;
        }
        const int on = 1;
        ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        std::thread{[fd, handler] {
            std::string rest;
            message request;
            while (read_message(fd, rest, request, now_ms() + 600'000) && handler(fd, request)) {
            }
            ::close(fd);
        }}.detach();
    }
}

} // namespace review

#endif
