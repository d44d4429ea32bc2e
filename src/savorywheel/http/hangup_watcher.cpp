#include <savorywheel/http/hangup_watcher.hpp>

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <array>
#include <cerrno>

namespace savorywheel {

namespace {

constexpr std::size_t max_events = 32;

void add(int epoll, int descriptor, std::uint32_t events)
{
    epoll_event event{};
    event.events = events;
    event.data.fd = descriptor;
    epoll_ctl(epoll, EPOLL_CTL_ADD, descriptor, &event);
}

} // namespace

hangup_watcher::hangup_watcher()
    : epoll_{epoll_create1(EPOLL_CLOEXEC)}, stop_event_{eventfd(0, EFD_CLOEXEC)}
{
    add(epoll_, stop_event_, EPOLLIN);
    thread_ = std::thread{[this] { run(); }};
}

hangup_watcher::~hangup_watcher()
{
    eventfd_write(stop_event_, 1);
    thread_.join();
    ::close(stop_event_);
    ::close(epoll_);
}

void hangup_watcher::watch(int socket, cancellation& cancel_signal)
{
    const std::scoped_lock lock{mutex_};
    cancellations_.insert_or_assign(socket, &cancel_signal);
    add(epoll_, socket, EPOLLRDHUP | EPOLLONESHOT);
}

void hangup_watcher::unwatch(int socket)
{
    const std::scoped_lock lock{mutex_};
    cancellations_.erase(socket);
    epoll_ctl(epoll_, EPOLL_CTL_DEL, socket, nullptr);
}

void hangup_watcher::run()
{
    std::array<epoll_event, max_events> events{};
    while (true) {
        const int count = epoll_wait(epoll_, events.data(), max_events, -1);
        if (count < 0 && errno != EINTR) {
            return;
        }
        for (int i = 0; i < count; ++i) {
            const int descriptor = events[static_cast<std::size_t>(i)].data.fd;
            if (descriptor == stop_event_) {
                return;
            }
            cancel_request(descriptor);
        }
    }
}

void hangup_watcher::cancel_request(int socket)
{
    const std::scoped_lock lock{mutex_};
    const auto found = cancellations_.find(socket);
    if (found != cancellations_.end()) {
        found->second->cancel();
    }
}

} // namespace savorywheel
