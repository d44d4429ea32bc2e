#ifndef SAVORYWHEEL_NODE_TABLE_PUBLISHER_HPP
#define SAVORYWHEEL_NODE_TABLE_PUBLISHER_HPP

#include <savorywheel/core/control_loop.hpp>
#include <savorywheel/membership/member_table.hpp>
#include <savorywheel/routing/routing_table_builder.hpp>
#include <savorywheel/routing/routing_table_holder.hpp>

#include <functional>

namespace savorywheel {

/**
 * @brief Builds routing tables and publishes them to the traffic threads.
 *
 * A new configuration is published immediately. Member changes are batched and rate-limited, so
 * that many changes cause few tables.
 * @warning Not thread-safe; call all member functions on the control thread.
 */
class table_publisher {
public:
    /** @brief Dependencies; all must outlive the publisher. */
    struct environment {
        /** @brief Event loop of the control thread. */
        control_loop& loop;
        routing_table_holder& tables;
        /** @brief Returns the member table. */
        std::function<const member_table&()> members;
    };

    /** @param env Dependencies. */
    explicit table_publisher(environment env);

    /**
     * @brief Publishes a routing table for a new configuration; ignores an older one, whose tables
     * would be refused.
     * @param state Configuration in force; with the ordered log, only once the version floor is
     * replicated.
     */
    void on_configuration(const mesh_state& state);

    /** @brief Schedules the publication of a routing table with the changed members. */
    void on_members_changed();

private:
    void publish();

    environment environment_;
    routing_table_builder builder_;
    monotonic_time published_at_;
    bool pending_{};
    subscription timer_;
};

} // namespace savorywheel

#endif
