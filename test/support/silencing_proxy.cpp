#include <support/loopback_socket.hpp>
#include <support/silencing_proxy.hpp>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <utility>

namespace savorywheel::test {

silencing_proxy::silencing_proxy(network_endpoint target)
    : target_{std::move(target)}, listener_{listen_on_loopback(endpoint_)}
{
    thread_ = std::thread{[this] { run(); }};
}

silencing_proxy::~silencing_proxy()
{
    stopping_ = true;
    ::shutdown(listener_, SHUT_RDWR);
    thread_.join();
    ::close(listener_);
    for (const auto& item : links_) {
        ::shutdown(item->near, SHUT_RDWR);
        ::shutdown(item->far, SHUT_RDWR);
        for (auto& thread : item->pumps) {
            thread.join();
        }
        ::close(item->near);
        ::close(item->far);
    }
}

void silencing_proxy::silence()
{
    const std::scoped_lock lock{mutex_};
    for (const auto& item : links_) {
        item->silent = true;
    }
}

void silencing_proxy::run()
{
    while (!stopping_) {
        const int near = ::accept(listener_, nullptr, nullptr);
        if (near < 0) {
            continue;
        }
        auto item = std::make_unique<link>();
        item->near = near;
        item->far = connect_to(target_);
        auto& opened = *item;
        opened.pumps.emplace_back([&opened] { pump(opened, opened.near, opened.far); });
        opened.pumps.emplace_back([&opened] { pump(opened, opened.far, opened.near); });
        const std::scoped_lock lock{mutex_};
        links_.push_back(std::move(item));
        ++accepted_;
    }
}

void silencing_proxy::pump(link& item, int from, int to)
{
    std::array<char, 16384> bytes{};
    while (true) {
        const auto size = ::recv(from, bytes.data(), bytes.size(), 0);
        if (size <= 0) {
            break;
        }
        if (!item.silent) {
            static_cast<void>(
                ::send(to, bytes.data(), static_cast<std::size_t>(size), MSG_NOSIGNAL));
        }
    }
    if (!item.silent) {
        ::shutdown(to, SHUT_WR);
    }
}

} // namespace savorywheel::test
