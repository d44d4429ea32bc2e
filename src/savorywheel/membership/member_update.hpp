#ifndef SAVORYWHEEL_MEMBERSHIP_MEMBER_UPDATE_HPP
#define SAVORYWHEEL_MEMBERSHIP_MEMBER_UPDATE_HPP

#include <savorywheel/membership/member_record.hpp>
#include <savorywheel/membership/member_status.hpp>

namespace savorywheel {

/** @brief A node's record with the status that the mesh assigns to the node. */
struct member_update {
    /** @brief Record published by the node itself. */
    member_record record;
    member_status status{member_status::alive};

    [[nodiscard]] friend bool operator==(const member_update&, const member_update&) = default;
};

} // namespace savorywheel

#endif
