#ifndef SAVORYWHEEL_MEMBERSHIP_MEMBERSHIP_LISTENER_HPP
#define SAVORYWHEEL_MEMBERSHIP_MEMBERSHIP_LISTENER_HPP

#include <savorywheel/core/clock.hpp>
#include <savorywheel/core/configuration_head.hpp>
#include <savorywheel/core/network_endpoint.hpp>
#include <savorywheel/membership/member_update.hpp>

namespace savorywheel {

/** @brief Receives membership events on the control thread. */
class membership_listener {
public:
    membership_listener() = default;
    membership_listener(const membership_listener&) = delete;
    membership_listener& operator=(const membership_listener&) = delete;
    membership_listener(membership_listener&&) = delete;
    membership_listener& operator=(membership_listener&&) = delete;
    virtual ~membership_listener() = default;

    /** @brief Called after a member's record or status has changed. */
    virtual void on_member_changed(const member_update& update) = 0;

    /** @brief Called with the summary of a peer's configuration, for each accepted datagram. */
    virtual void on_head_received(const network_endpoint& peer, const configuration_head& head) = 0;

    /**
     * @brief Called when everything that the store had acknowledged by a later time than before is
     * known to be in this node's configuration.
     * @param as_of The time, on clock::since_boot().
     */
    virtual void on_proven(duration as_of) { static_cast<void>(as_of); }
};

} // namespace savorywheel

#endif
