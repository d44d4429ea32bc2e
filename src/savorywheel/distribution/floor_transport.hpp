#ifndef SAVORYWHEEL_DISTRIBUTION_FLOOR_TRANSPORT_HPP
#define SAVORYWHEEL_DISTRIBUTION_FLOOR_TRANSPORT_HPP

#include <savorywheel/distribution/floor_message.hpp>
#include <savorywheel/membership/member_record.hpp>

namespace savorywheel {

/** @brief Sends the requests of floor_coordinator to replicas and to the object store. */
class floor_transport {
public:
    floor_transport() = default;
    floor_transport(const floor_transport&) = delete;
    floor_transport& operator=(const floor_transport&) = delete;
    floor_transport(floor_transport&&) = delete;
    floor_transport& operator=(floor_transport&&) = delete;
    virtual ~floor_transport() = default;

    /** @brief Writes a floor to a replica; floor_coordinator::on_floor_stored() gets the response.
     */
    virtual void put_floor(const member_record& replica, const floor_message& floor) = 0;

    /** @brief Reads a floor from a replica; floor_coordinator::on_floor_value() gets the response.
     */
    virtual void get_floor(const member_record& replica, const node_id& node) = 0;

    /** @brief Reads the head of the stored log; floor_coordinator::on_store_head() gets it. */
    virtual void read_store_head() = 0;
};

} // namespace savorywheel

#endif
