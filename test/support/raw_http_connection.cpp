#include <savorywheel/http/http_header.hpp>

#include <poll.h>
#include <support/loopback_socket.hpp>
#include <support/raw_http_connection.hpp>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <charconv>

namespace savorywheel::test {

namespace {

constexpr std::string_view line_end = "\r\n";
constexpr std::string_view head_end = "\r\n\r\n";
constexpr std::string_view length_field = "Content-Length: ";
constexpr std::size_t status_position = 9;
constexpr int receive_limit_milliseconds = 20'000;

std::size_t parse_number(std::string_view text)
{
    std::size_t number{};
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

std::size_t length_of_body(std::string_view head)
{
    for (std::size_t begin = 0; begin < head.size();) {
        const auto end = head.find(line_end, begin);
        const auto line = head.substr(begin, end - begin);
        if (equal_ignoring_case(line.substr(0, length_field.size()), length_field)) {
            return parse_number(line.substr(length_field.size()));
        }
        begin = end + line_end.size();
    }
    return 0;
}

} // namespace

raw_http_connection::raw_http_connection(const network_endpoint& server)
    : socket_{connect_to(server)}
{
}

raw_http_connection::~raw_http_connection()
{
    ::close(socket_);
}

bool raw_http_connection::send(std::string_view bytes) const
{
    while (!bytes.empty()) {
        const auto size = ::send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (size <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(size));
    }
    return true;
}

int raw_http_connection::read_status()
{
    while (true) {
        auto head = received_.find(head_end);
        while (head == std::string::npos) {
            if (!receive()) {
                return 0;
            }
            head = received_.find(head_end);
        }
        head += head_end.size();
        const auto status = parse_number(std::string_view{received_}.substr(status_position));
        const auto length = length_of_body(std::string_view{received_}.substr(0, head));
        while (received_.size() < head + length) {
            if (!receive()) {
                return 0;
            }
        }
        body_ = received_.substr(head, length);
        received_.erase(0, head + length);
        if (status >= 200) {
            return static_cast<int>(status);
        }
    }
}

bool raw_http_connection::closed_within(std::chrono::milliseconds limit) const
{
    pollfd readable{socket_, POLLIN, 0};
    char next{};
    return received_.empty() && ::poll(&readable, 1, static_cast<int>(limit.count())) == 1 &&
           ::recv(socket_, &next, 1, 0) <= 0;
}

bool raw_http_connection::receive()
{
    std::array<char, 4096> buffer{};
    pollfd readable{socket_, POLLIN, 0};
    if (::poll(&readable, 1, receive_limit_milliseconds) != 1) {
        return false;
    }
    const auto size = ::recv(socket_, buffer.data(), buffer.size(), 0);
    if (size <= 0) {
        return false;
    }
    received_.append(buffer.data(), static_cast<std::size_t>(size));
    return true;
}

} // namespace savorywheel::test
