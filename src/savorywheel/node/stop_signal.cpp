#include <savorywheel/node/stop_signal.hpp>

#include <csignal>

namespace savorywheel {

namespace {

sigset_t stop_set()
{
    sigset_t set{};
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    return set;
}

} // namespace

stop_signal::stop_signal()
{
    const auto set = stop_set();
    pthread_sigmask(SIG_BLOCK, &set, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

void stop_signal::wait() const
{
    const auto set = stop_set();
    int received{};
    sigwait(&set, &received);
}

} // namespace savorywheel
