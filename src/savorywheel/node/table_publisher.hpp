#ifndef SAVORYWHEEL_NODE_TABLE_PUBLISHER_HPP
#define SAVORYWHEEL_NODE_TABLE_PUBLISHER_HPP

#include <savorywheel/core/control_loop.hpp>
#include <savorywheel/membership/member_table.hpp>
#include <savorywheel/routing/routing_table_builder.hpp>
#include <savorywheel/routing/routing_table_holder.hpp>

#include <functional>

namespace savorywheel {

/**
 * @brief Compiles routing tables and hands them to the traffic threads.
 *
 * A new configuration is published at once. Changes of members are gathered for a moment, and many
 * of them cause few tables.
 * @warning All members are for the control thread.
 */
class table_publisher {
public:
    /** @brief What the publisher works with; all must outlive it. */
    struct environment {
        /** @brief Control thread's events and timers. */
        control_loop& loop;
        /** @brief Receives the tables. */
        routing_table_holder& tables;
        /** @brief Gives the member records. */
        std::function<const member_table&()> members;
    };

    /** @param env What the publisher works with. */
    explicit table_publisher(environment env);

    /** @brief Publishes a configuration that may be used. */
    void on_configuration(const mesh_state& state);

    /** @brief Publishes the changed members soon. */
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
