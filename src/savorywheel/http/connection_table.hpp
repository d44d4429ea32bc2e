#ifndef SAVORYWHEEL_HTTP_CONNECTION_TABLE_HPP
#define SAVORYWHEEL_HTTP_CONNECTION_TABLE_HPP

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>

namespace savorywheel {

/** @brief Open connections of an HTTP server and its requests in progress; thread-safe. */
class connection_table {
public:
    /** @brief Names a connection by the caller's address and port. */
    using key = std::uint64_t;

    /** @brief Notes a new connection. */
    void add(key caller, int socket);

    /** @brief Notes that a connection was closed. */
    void remove(key caller);

    /** @brief Notes that a request began or ended. */
    void adjust_request_count(int delta);

    /** @return Descriptor of a caller's connection. */
    [[nodiscard]] std::optional<int> socket_of(key caller) const;

    /**
     * @brief Waits until all connections are closed, or those left have been idle for a while.
     * @param limit Longest wait.
     * @param idle Time without any request after which open connections count as idle.
     * @return True unless requests were still in progress at the limit.
     */
    [[nodiscard]] bool wait_until_idle(std::chrono::milliseconds limit,
                                       std::chrono::milliseconds idle);

private:
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::map<key, int> sockets_;
    int requests_in_flight_{};
    std::uint64_t change_count_{};
};

} // namespace savorywheel

#endif
