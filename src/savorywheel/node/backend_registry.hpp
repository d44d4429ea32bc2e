#ifndef SAVORYWHEEL_NODE_BACKEND_REGISTRY_HPP
#define SAVORYWHEEL_NODE_BACKEND_REGISTRY_HPP

#include <savorywheel/node/backend_monitor.hpp>
#include <savorywheel/node/departure_copies.hpp>
#include <savorywheel/node/departure_store.hpp>
#include <savorywheel/settings/node_settings.hpp>

#include <functional>
#include <memory>
#include <string_view>

namespace savorywheel {

/**
 * @brief Registration of the backend server on this VM, whose departures outlast this process.
 *
 * A departure takes effect at once. It is acknowledged when the platform's store keeps it, or other
 * nodes do while the store does not answer.
 *
 * Call start() and stop() on the control thread; the others are thread-safe, and block unless
 * noted.
 */
class backend_registry {
public:
    /** @brief Dependencies; all must outlive the registry. */
    struct environment {
        /** @brief Nodes that keep copies of the departures. */
        departure_copies::environment peers;
        /** @brief Runs blocking calls to the object store. */
        store_worker& worker;
        /** @brief True if the store keeps the departures. */
        bool keeps_departures;
    };

    /**
     * @param settings Settings of the node.
     * @param env Dependencies.
     * @param changed Called on each change of the backend server, on the control thread.
     */
    backend_registry(const node_settings& settings, environment env,
                     backend_monitor::change_callback changed);

    /** @brief Reads the departures and starts the timeout check. */
    void start();

    /** @copydoc backend_monitor::stop */
    void stop();

    /** @brief Writes the departures again; call after the store was restored from a backup. */
    void on_store_restored();

    /** @brief Sends a member the departures that this node keeps for it. */
    void on_member_changed(const member_update& update);

    /** @return Frame handler for copies of departures; nullptr if the store does not keep them. */
    [[nodiscard]] departure_copies* copies() noexcept { return copies_.get(); }

    /** @brief Applies an announcement that has no sequence number; does not block. */
    void announce(const backend_server& backend);

    /**
     * @copydoc node_control::apply_announcement
     * A departure fails with unavailable until it outlasts this process.
     */
    [[nodiscard]] outcome<bool> apply(const backend_announcement& announcement);

    /**
     * @copydoc node_control::deregister_backend
     * It fails with unavailable until the departure outlasts this process.
     */
    [[nodiscard]] outcome<bool> deregister(std::string_view identity);

private:
    using change = std::function<outcome<bool>()>;

    [[nodiscard]] outcome<bool> accept_departure(const backend_announcement& announcement);
    /** Runs a departure on the control thread, and waits until it outlasts this process. */
    [[nodiscard]] outcome<bool> depart(const change& action);
    /** Runs a change on the control thread. */
    [[nodiscard]] outcome<bool> run(const change& action);
    /** Calls the function once the store or enough other nodes have the departures. */
    void record_departures(const std::function<void()>& recorded);
    void write_departures();

    environment environment_;
    control_loop& loop_;
    backend_monitor monitor_;
    /** nullptr if the store does not keep the departures. */
    std::unique_ptr<departure_store> departures_;
    /** nullptr if departures_ is. */
    std::unique_ptr<departure_copies> copies_;
    subscription copy_timer_;
};

} // namespace savorywheel

#endif
