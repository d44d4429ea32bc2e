#ifndef SAVORYWHEEL_HTTP_CONNECTION_TABLE_HPP
#define SAVORYWHEEL_HTTP_CONNECTION_TABLE_HPP

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>

struct MHD_Connection;

namespace savorywheel {

/** @brief Open connections and requests in flight of an HTTP server; thread-safe. */
class connection_table {
public:
    /** @brief Caller's IPv4 address and port, packed into one number. */
    using key = std::uint64_t;

    /** @brief Adds a connection and sets its idle timeout. */
    void add(key caller, MHD_Connection& connection, int socket);

    void remove(key caller);

    /** @brief Sets the idle timeout of open and later connections. */
    void set_idle_timeout(std::chrono::seconds timeout);

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
    struct entry {
        MHD_Connection* connection{};
        int socket{};
    };

    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::map<key, entry> connections_;
    std::chrono::seconds idle_timeout_{};
    int requests_in_flight_{};
    std::uint64_t change_count_{};
};

} // namespace savorywheel

#endif
