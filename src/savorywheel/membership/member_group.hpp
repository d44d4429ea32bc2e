#ifndef SAVORYWHEEL_MEMBERSHIP_MEMBER_GROUP_HPP
#define SAVORYWHEEL_MEMBERSHIP_MEMBER_GROUP_HPP

#include <savorywheel/membership/member_record.hpp>

#include <cstdint>
#include <map>

namespace savorywheel {

/** @brief Live members with a backend server of one service. */
struct member_group {
    /** @brief Incremented with each change of the group. */
    std::uint64_t revision{};
    /** @brief Records by node; owned by the member table. */
    std::map<node_id, const member_record*> records;
};

} // namespace savorywheel

#endif
