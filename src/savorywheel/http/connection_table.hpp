#ifndef SAVORYWHEEL_HTTP_CONNECTION_TABLE_HPP
#define SAVORYWHEEL_HTTP_CONNECTION_TABLE_HPP

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>

namespace savorywheel {

/** @brief Open connections and requests in flight of an HTTP server; thread-safe. */
class connection_table {
public:
    /** @brief Caller's IPv4 address and port, packed into one number. */
    using key = std::uint64_t;

    void add(key caller, int socket);

    void remove(key caller);

    /** @brief Adjusts the number of requests in flight: 1 at the start of one, -1 at its end. */
    void adjust_request_count(int delta);

    /** @return Socket descriptor of a caller's connection. */
    [[nodiscard]] std::optional<int> socket_of(key caller) const;

    /**
     * @brief Blocks until all connections are closed or the remaining ones are idle.
     * @param limit Maximum wait.
     * @param idle Time without any request after which the open connections count as idle.
     * @return False if requests were still in flight at the limit.
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
