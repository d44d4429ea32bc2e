#ifndef SAVORYWHEEL_NODE_BACKEND_REGISTRY_HPP
#define SAVORYWHEEL_NODE_BACKEND_REGISTRY_HPP

#include <savorywheel/node/backend_monitor.hpp>
#include <savorywheel/node/departure_store.hpp>
#include <savorywheel/settings/node_settings.hpp>

#include <functional>
#include <memory>
#include <string_view>

namespace savorywheel {

/**
 * @brief Registration of the backend server on this VM, whose departures the platform's store
 * keeps.
 *
 * Call start() and stop() on the control thread; the others are thread-safe, and block unless
 * noted.
 */
class backend_registry {
public:
    /** @brief Dependencies; all must outlive the registry. */
    struct environment {
        /** @brief Event loop of the control thread. */
        control_loop& loop;
        /** @brief Runs blocking calls to the object store. */
        store_worker& worker;
        event_log& log;
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

    /** @brief Applies an announcement that has no sequence number; does not block. */
    void announce(const backend_server& backend);

    /** @copydoc node_control::apply_announcement */
    [[nodiscard]] outcome<bool> apply(const backend_announcement& announcement);

    /** @copydoc node_control::deregister_backend */
    [[nodiscard]] outcome<bool> deregister(std::string_view identity);

private:
    /** Runs a change on the control thread, and waits until the store has a new departure. */
    [[nodiscard]] outcome<bool> change(std::function<outcome<bool>()> action);

    environment environment_;
    backend_monitor monitor_;
    /** nullptr if the store does not keep the departures. */
    std::unique_ptr<departure_store> departures_;
};

} // namespace savorywheel

#endif
