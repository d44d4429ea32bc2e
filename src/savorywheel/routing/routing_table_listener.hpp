#ifndef SAVORYWHEEL_ROUTING_ROUTING_TABLE_LISTENER_HPP
#define SAVORYWHEEL_ROUTING_ROUTING_TABLE_LISTENER_HPP

namespace savorywheel {

class routing_table;

/** @brief Receives published routing tables; called on the control thread, must not block. */
class routing_table_listener {
public:
    routing_table_listener() = default;
    routing_table_listener(const routing_table_listener&) = delete;
    routing_table_listener& operator=(const routing_table_listener&) = delete;
    routing_table_listener(routing_table_listener&&) = delete;
    routing_table_listener& operator=(routing_table_listener&&) = delete;
    virtual ~routing_table_listener() = default;

    /** @brief The table is in force. */
    virtual void on_table(const routing_table& table) = 0;
};

} // namespace savorywheel

#endif
