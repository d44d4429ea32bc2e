#ifndef SAVORYWHEEL_MEMBERSHIP_MEMBER_STATUS_HPP
#define SAVORYWHEEL_MEMBERSHIP_MEMBER_STATUS_HPP

#include <cstdint>
#include <string_view>

namespace savorywheel {

/** @brief What the mesh believes about a node; later ones prevail at the same incarnation. */
enum class member_status : std::uint8_t {
    alive,   /**< It answers. */
    suspect, /**< It did not answer a probe, and has not yet objected. */
    dead,    /**< It did not object in time, or it left. */
    last_status = dead
};

/** @return The status in words. */
[[nodiscard]] std::string_view to_string(member_status status) noexcept;

} // namespace savorywheel

#endif
