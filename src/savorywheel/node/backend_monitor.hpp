#ifndef SAVORYWHEEL_NODE_BACKEND_MONITOR_HPP
#define SAVORYWHEEL_NODE_BACKEND_MONITOR_HPP

#include <savorywheel/core/control_loop.hpp>
#include <savorywheel/log/event_log.hpp>
#include <savorywheel/traffic/backend_announcement.hpp>

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace savorywheel {

/**
 * @brief Follows the announcements of the backend server beside this node.
 *
 * A backend server that no longer announces itself is taken as gone.
 * @warning All members are for the control thread.
 */
class backend_monitor {
public:
    /** @brief Hears of the latest announcement; nothing if the backend server is gone. */
    using change_callback = std::function<void(const std::optional<backend_server>&)>;

    /** @brief What the monitor works with; all must outlive it. */
    struct environment {
        /** @brief Control thread's events and timers. */
        control_loop& loop;
        /** @brief Log. */
        event_log& log;
        /** @brief Time without an announcement after which the backend server counts as gone. */
        std::chrono::milliseconds timeout;
    };

    /**
     * @param env What the monitor works with.
     * @param changed Hears of changes.
     */
    backend_monitor(environment env, change_callback changed);

    /** @brief Starts to watch for silence. */
    void start();

    /** @brief Takes no more announcements. */
    void stop();

    /** @brief Takes an announcement. */
    void announce(const backend_server& backend);

    /**
     * @brief Takes a numbered announcement, unless a later one was taken already.
     * @return False if it came too late to count.
     */
    bool accept(const backend_announcement& announcement);

    /** @brief Hears that a backend server leaves; its announcements no longer count. */
    void deregister(std::string_view identity);

private:
    [[nodiscard]] bool is_stale(const backend_announcement& announcement) const;
    void check_timeout();

    environment environment_;
    change_callback changed_;
    std::optional<backend_server> backend_;
    std::optional<backend_announcement> latest_;
    /** Backend servers that left; announcements of starts up to the time given do not count. */
    std::map<std::string, std::uint64_t, std::less<>> departed_;
    monotonic_time announced_at_;
    bool stopped_{};
    subscription timer_;
};

} // namespace savorywheel

#endif
