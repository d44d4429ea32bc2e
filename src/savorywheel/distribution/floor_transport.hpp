#ifndef SAVORYWHEEL_DISTRIBUTION_FLOOR_TRANSPORT_HPP
#define SAVORYWHEEL_DISTRIBUTION_FLOOR_TRANSPORT_HPP

#include <savorywheel/distribution/floor_message.hpp>
#include <savorywheel/membership/member_record.hpp>

namespace savorywheel {

/** @brief Carries a node's floor to its buddies, and questions to buddies and the store. */
class floor_transport {
public:
    floor_transport() = default;
    floor_transport(const floor_transport&) = delete;
    floor_transport& operator=(const floor_transport&) = delete;
    floor_transport(floor_transport&&) = delete;
    floor_transport& operator=(floor_transport&&) = delete;
    virtual ~floor_transport() = default;

    /** @brief Asks a buddy to remember a floor; floor_coordinator::on_floor_stored() hears the
     * answer. */
    virtual void put_floor(const member_record& replica, const floor_message& floor) = 0;

    /** @brief Asks a buddy for the floor of a node; floor_coordinator::on_floor_value() hears the
     * answer. */
    virtual void get_floor(const member_record& replica, const node_id& node) = 0;

    /** @brief Reads the log's head in the store; floor_coordinator::on_store_head() hears of it. */
    virtual void read_store_head() = 0;
};

} // namespace savorywheel

#endif
