#ifndef SAVORYWHEEL_NODE_DEPARTURE_STORE_HPP
#define SAVORYWHEEL_NODE_DEPARTURE_STORE_HPP

#include <savorywheel/core/control_loop.hpp>
#include <savorywheel/core/names.hpp>
#include <savorywheel/log/event_log.hpp>
#include <savorywheel/store/store_worker.hpp>
#include <savorywheel/traffic/backend_departures.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace savorywheel {

/**
 * @brief Keeps the departures of a VM's backend servers in the platform's object store.
 *
 * A node has no disk, and an announcement may arrive seconds late: after a restart, only the store
 * tells a server that has left from one that is there. Reads and writes are repeated until they
 * succeed.
 * @warning Not thread-safe; call all members on the control thread.
 */
class departure_store {
public:
    /** @brief Receives the departures from before the start. */
    using restored_callback = std::function<void(std::span<const backend_departure>)>;
    using callback = std::function<void()>;

    /** @brief Dependencies; all must outlive the store. */
    struct environment {
        /** @brief Event loop of the control thread. */
        control_loop& loop;
        /** @brief Runs blocking calls to the object store. */
        store_worker& worker;
        event_log& log;
    };

    /**
     * @param self Name of this node.
     * @param env Dependencies.
     */
    departure_store(const node_id& self, environment env);

    /**
     * @brief Reads the departures.
     * @param restored Called once they are known.
     * @param delayed Called first if that takes longer than a read usually does.
     */
    void start(restored_callback restored, callback delayed);

    /**
     * @brief Writes the departures.
     * @param departures All that are known, oldest first.
     * @param written Called once the store has them; at once if it has them already.
     */
    void write(std::span<const backend_departure> departures, callback written);

    /** @brief Writes the departures again, since a restored store may have lost them. */
    void on_store_restored();

private:
    /** The object in the store; its revision is none if it does not exist. */
    struct stored {
        backend_departures value;
        std::optional<std::uint64_t> revision;
    };

    void read();
    void on_read(const outcome<stored>& result);
    void submit_write();
    void on_written(const outcome<std::uint64_t>& revision, const backend_departures& value);
    void retry(callback action);
    [[nodiscard]] static outcome<stored> read_object(object_store& store, const std::string& key);
    [[nodiscard]] static outcome<std::uint64_t> write_object(object_store& store,
                                                             const std::string& key,
                                                             const backend_departures& value,
                                                             std::optional<std::uint64_t> revision);

    std::string key_;
    environment environment_;
    restored_callback restored_;
    subscription delay_timer_;
    subscription retry_timer_;
    std::chrono::milliseconds retry_delay_;
    bool is_read_{};
    bool is_writing_{};
    stored stored_;
    backend_departures wanted_;
    std::vector<callback> waiting_;
};

} // namespace savorywheel

#endif
