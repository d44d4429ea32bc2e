#ifndef SAVORYWHEEL_MEMBERSHIP_MEMBERSHIP_SYNC_MESSAGE_HPP
#define SAVORYWHEEL_MEMBERSHIP_MEMBERSHIP_SYNC_MESSAGE_HPP

#include <savorywheel/membership/member_update.hpp>

#include <vector>

namespace savorywheel {

/** @brief All that one node knows about the members. */
struct membership_sync_message {
    /** @brief Records of all members. */
    std::vector<member_update> members;
};

} // namespace savorywheel

#endif
