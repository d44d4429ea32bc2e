#include <savorywheel/node/process_signals.hpp>

#include <csignal>

namespace savorywheel {

namespace {

sigset_t handled_signals()
{
    sigset_t set{};
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    sigaddset(&set, SIGHUP);
    return set;
}

} // namespace

process_signals::process_signals()
{
    const auto set = handled_signals();
    pthread_sigmask(SIG_BLOCK, &set, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

void process_signals::wait_for_stop(const std::function<void()>& reload) const
{
    const auto set = handled_signals();
    int received{};
    while (sigwait(&set, &received) != 0 || received == SIGHUP) {
        if (received == SIGHUP) {
            reload();
        }
    }
}

} // namespace savorywheel
