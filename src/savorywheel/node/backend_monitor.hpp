#ifndef SAVORYWHEEL_NODE_BACKEND_MONITOR_HPP
#define SAVORYWHEEL_NODE_BACKEND_MONITOR_HPP

#include <savorywheel/core/control_loop.hpp>
#include <savorywheel/core/outcome.hpp>
#include <savorywheel/log/event_log.hpp>
#include <savorywheel/node/announcement_order.hpp>
#include <savorywheel/node/backend_placement.hpp>

#include <functional>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace savorywheel {

/**
 * @brief Tracks the backend server on this VM by its announcements.
 *
 * A backend server that stops announcing itself is removed after a timeout.
 * @warning Not thread-safe; call all members on the control thread.
 */
class backend_monitor {
public:
    /** @brief Receives the current backend server, or std::nullopt after its removal. */
    using change_callback = std::function<void(const std::optional<backend_server>&)>;

    /** @brief Dependencies; all must outlive the monitor. */
    struct environment {
        /** @brief Event loop of the control thread. */
        control_loop& loop;
        event_log& log;
        /** @brief Time without an announcement after which the backend server is removed. */
        std::chrono::milliseconds timeout;
        /** @brief Announcements that contradict it are of another VM or another writer. */
        backend_placement placement;
    };

    /**
     * @param env Dependencies.
     * @param changed Called on each change.
     */
    backend_monitor(environment env, change_callback changed);

    /** @brief Starts the periodic timeout check. */
    void start();

    /** @brief Stops the timeout check; later announcements are ignored. */
    void stop();

    /** @brief Applies an announcement that has no sequence number. */
    void announce(const backend_server& backend);

    /**
     * @brief Applies a numbered announcement unless a newer one has been applied.
     * @return False if the announcement is superseded; invalid_argument if it is not of a backend
     * server on this VM; conflict if another backend server is in use.
     */
    [[nodiscard]] outcome<bool> accept(const backend_announcement& announcement);

    /** @brief Removes a backend server; later announcements of the same start are ignored. */
    void deregister(std::string_view identity);

    /** @brief Holds announcements back until the departures before this start are known. */
    void hold_announcements() noexcept { holds_ = true; }

    /**
     * @brief Uses announcements without knowing the departures before this start.
     *
     * A backend server is then used after it has announced itself repeatedly.
     */
    void release_unconfirmed();

    /** @return True while announcements are held back. */
    [[nodiscard]] bool holds_announcements() const noexcept { return holds_; }

    /** @brief Adds the departures before this start, and uses the announcements held back. */
    void restore(std::span<const backend_departure> departures);

    /** @brief Adds departures from before this start, which need not be all. */
    void add_departures(std::span<const backend_departure> departures);

    /** @return The latest departures, oldest first. */
    [[nodiscard]] std::span<const backend_departure> departures() const noexcept
    {
        return order_.departures();
    }

private:
    struct held_announcement {
        backend_announcement announcement;
        monotonic_time arrived;
    };

    [[nodiscard]] outcome<bool> apply(const backend_announcement& announcement,
                                      monotonic_time arrived);
    void apply_held();
    void remove();
    void check_timeout();

    environment environment_;
    change_callback changed_;
    std::optional<backend_server> backend_;
    announcement_order order_;
    /** Announcements that have arrived before the departures are known. */
    std::vector<held_announcement> held_;
    bool holds_{};
    monotonic_time announced_at_;
    bool stopped_{};
    subscription timer_;
};

} // namespace savorywheel

#endif
