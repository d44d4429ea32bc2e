#ifndef SAVORYWHEEL_CONFIG_COMMIT_KIND_HPP
#define SAVORYWHEEL_CONFIG_COMMIT_KIND_HPP

#include <cstdint>
#include <string_view>

namespace savorywheel {

/** @brief What a commit does. */
enum class commit_kind : std::uint8_t {
    text_applied,      /**< An operator applied an edited text. */
    override_set,      /**< An operator set an override. */
    override_released, /**< An operator released an override. */
    rollout_step,      /**< The automation moved a share of the traffic. */
    rollout_done,      /**< The automation finished a move. */
    withdrawal,        /**< The automation took a version back. */
    last_kind = withdrawal
};

/** @return The kind in words. */
[[nodiscard]] std::string_view to_string(commit_kind kind) noexcept;

/** @return True if the automation writes commits of this kind. */
[[nodiscard]] bool is_automatic(commit_kind kind) noexcept;

} // namespace savorywheel

#endif
