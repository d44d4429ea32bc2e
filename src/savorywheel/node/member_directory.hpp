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
 * @brief List of nodes in the platform's service, through which a node finds the first others.
 *
 * A node registers itself before it reads the list. Of two nodes that start at one time, the one
 * that registered later finds the other, so that membership messages connect all of them.
 * @warning All members are for the control thread.
 */
class member_directory {
public:
    /** @brief Takes the endpoints of other nodes, on the control thread. */
    using found_callback = std::function<void(std::span<const network_endpoint>)>;

    /** @brief What the directory works with; all must outlive it. */
    struct environment {
        /** @brief Control thread's events and timers. */
        control_loop& loop;
        /** @brief Thread for the platform's service. */
        store_worker& worker;
        /** @brief Spreads the retries. */
        random_source& random;
        /** @brief Log. */
        event_log& log;
        /** @brief Tells whether this node knows another living one. */
        std::function<bool()> connected;
        /** @brief Takes the endpoints of other nodes. */
        found_callback found;
    };

    /**
     * @param self Record of this node.
     * @param env What the directory works with.
     */
    member_directory(member_record self, environment env);

    /** @brief Registers this node and looks for others, until it knows one. */
    void start();

    /** @brief Removes this node's entry, and ends the search. */
    void stop();

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
    std::chrono::milliseconds delay_;
    subscription timer_;
};

} // namespace savorywheel

#endif
