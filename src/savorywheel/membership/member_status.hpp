#ifndef SAVORYWHEEL_MEMBERSHIP_MEMBER_STATUS_HPP
#define SAVORYWHEEL_MEMBERSHIP_MEMBER_STATUS_HPP

#include <cstdint>
#include <string_view>

namespace savorywheel {

/** @brief Status of a node; at the same incarnation, later enumerators supersede earlier ones. */
enum class member_status : std::uint8_t {
    alive,   /**< The node answers probes. */
    suspect, /**< A probe failed, and the node has not refuted the suspicion yet. */
    dead,    /**< The suspicion was not refuted in time, or the node left the mesh. */
    last_status = dead
};

[[nodiscard]] std::string_view to_string(member_status status) noexcept;

} // namespace savorywheel

#endif
