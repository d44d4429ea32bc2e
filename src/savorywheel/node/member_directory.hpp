#ifndef SAVORYWHEEL_NODE_MEMBER_DIRECTORY_HPP
#define SAVORYWHEEL_NODE_MEMBER_DIRECTORY_HPP

#include <savorywheel/core/control_loop.hpp>
#include <savorywheel/core/random_source.hpp>
#include <savorywheel/log/event_log.hpp>
#include <savorywheel/membership/member_record.hpp>
#include <savorywheel/store/store_worker.hpp>

#include <functional>
#include <span>
#include <string>
#include <vector>

namespace savorywheel {

/**
 * @brief Directory of nodes in the platform's object store, for discovery of the first peers.
 *
 * A node registers itself before it lists the directory. Of two nodes that start concurrently, the
 * one that registers later finds the other, so the membership protocol connects all nodes.
 * @warning Not thread-safe; call all members on the control thread.
 */
class member_directory {
public:
    /** @brief Receives the endpoints of other nodes, on the control thread. */
    using found_callback = std::function<void(std::span<const network_endpoint>)>;

    /** @brief Dependencies; all must outlive the directory. */
    struct environment {
        /** @brief Event loop of the control thread. */
        control_loop& loop;
        /** @brief Runs blocking calls to the object store. */
        store_worker& worker;
        /** @brief Adds jitter to the search delay. */
        random_source& random;
        event_log& log;
        /** @brief Returns true if this node has another live member in its table. */
        std::function<bool()> connected;
        /** @brief Receives the endpoints of other nodes. */
        found_callback found;
    };

    /**
     * @param self Record of this node.
     * @param env Dependencies.
     */
    member_directory(member_record self, environment env);

    /** @brief Registers this node and searches for others until it is connected to one. */
    void start();

    /** @brief Ends the search and removes this node's entry. */
    void stop();

    /** @brief Registers this node again, since a restored store may have lost its entry. */
    void on_store_restored();

private:
    struct result {
        void add_entries(std::span<const stored_object> objects, const node_id& self);

        bool registered{};
        std::vector<network_endpoint> peers;
        std::vector<std::string> unreadable;
        failure reason;
    };

    void search();
    void on_search_result(const result& outcome);
    void schedule_search();

    member_record self_;
    environment environment_;
    bool registered_{};
    bool stopped_{};
    std::chrono::milliseconds delay_;
    subscription timer_;
};

} // namespace savorywheel

#endif
