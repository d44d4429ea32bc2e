#ifndef SAVORYWHEEL_MEMBERSHIP_MEMBER_UPDATE_HPP
#define SAVORYWHEEL_MEMBERSHIP_MEMBER_UPDATE_HPP

#include <savorywheel/membership/member_record.hpp>
#include <savorywheel/membership/member_status.hpp>

namespace savorywheel {

/** @brief A node's record with what the mesh believes about the node. */
struct member_update {
    /** @brief The node's own record. */
    member_record record;
    /** @brief What the mesh believes. */
    member_status status{member_status::alive};

    /** @brief Compares both members. */
    [[nodiscard]] friend bool operator==(const member_update&, const member_update&) = default;
};

} // namespace savorywheel

#endif
