#ifndef SAVORYWHEEL_HTTP_HANGUP_WATCHER_HPP
#define SAVORYWHEEL_HTTP_HANGUP_WATCHER_HPP

#include <savorywheel/http/cancellation.hpp>

#include <cstdint>
#include <map>
#include <mutex>
#include <thread>

namespace savorywheel {

/**
 * @brief Cancels requests whose caller closes its connection; one thread waits for all of them.
 *
 * A caller that closes only its sending direction counts as gone.
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
     * @brief Watches a connection.
     * @param socket Descriptor of the connection.
     * @param stop Cancelled when the caller closes it; must live until unwatch().
     */
    void watch(int socket, cancellation& stop);

    /** @brief Ends the watch; the cancellation is not used afterwards. */
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
