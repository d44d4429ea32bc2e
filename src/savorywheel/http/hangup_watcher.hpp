#ifndef SAVORYWHEEL_HTTP_HANGUP_WATCHER_HPP
#define SAVORYWHEEL_HTTP_HANGUP_WATCHER_HPP

#include <savorywheel/http/cancellation.hpp>

#include <cstdint>
#include <map>
#include <mutex>
#include <thread>

namespace savorywheel {

/**
 * @brief Cancels requests whose caller closes its connection; one epoll thread serves all.
 *
 * A half-closed connection, whose caller has only shut down sending, counts as closed.
 */
class hangup_watcher {
public:
    hangup_watcher();
    hangup_watcher(const hangup_watcher&) = delete;
    hangup_watcher& operator=(const hangup_watcher&) = delete;
    hangup_watcher(hangup_watcher&&) = delete;
    hangup_watcher& operator=(hangup_watcher&&) = delete;
    ~hangup_watcher();

    /**
     * @brief Starts to monitor a connection.
     * @param socket Descriptor of the connection.
     * @param cancel_signal Cancelled when the caller closes the connection; must stay valid until
     * unwatch().
     */
    void watch(int socket, cancellation& cancel_signal);

    /** @brief Stops monitoring; the cancellation is not used after the return. */
    void unwatch(int socket);

private:
    void run();
    void cancel_request(int socket);

    int epoll_;
    int stop_event_;
    std::mutex mutex_;
    std::map<int, cancellation*> cancellations_;
    std::thread thread_;
};

} // namespace savorywheel

#endif
