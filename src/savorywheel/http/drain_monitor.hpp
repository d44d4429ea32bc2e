#ifndef SAVORYWHEEL_HTTP_DRAIN_MONITOR_HPP
#define SAVORYWHEEL_HTTP_DRAIN_MONITOR_HPP

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <mutex>

namespace savorywheel {

/** @brief Counts the connections and requests in flight of an HTTP server; thread-safe. */
class drain_monitor {
public:
    /** @brief Adjusts the number of open connections: 1 when one opens, -1 when it closes. */
    void adjust_connection_count(int delta);

    /** @brief Adjusts the number of requests in flight: 1 at the start of one, -1 at its end. */
    void adjust_request_count(int delta);

    /**
     * @brief Blocks until all connections are closed or the remaining ones are idle.
     * @param limit Maximum wait.
     * @param idle Time without any request after which the open connections count as idle.
     * @return False if requests were still in flight at the limit.
     */
    [[nodiscard]] bool wait_until_idle(std::chrono::milliseconds limit,
                                       std::chrono::milliseconds idle);

private:
    std::mutex mutex_;
    std::condition_variable changed_;
    int connections_{};
    int requests_in_flight_{};
    std::uint64_t change_count_{};
};

} // namespace savorywheel

#endif
