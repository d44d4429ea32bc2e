#ifndef SAVORYWHEEL_CONFIG_COMMIT_KIND_HPP
#define SAVORYWHEEL_CONFIG_COMMIT_KIND_HPP

#include <cstdint>
#include <string_view>

namespace savorywheel {

/** @brief Kind of change that a commit makes. */
enum class commit_kind : std::uint8_t {
    text_applied,      /**< An operator applied a configuration text. */
    override_set,      /**< An operator set an override. */
    override_released, /**< An operator released an override. */
    rollout_step,      /**< The rollout controller shifted a share of the traffic. */
    rollout_done,      /**< The rollout controller completed a move. */
    withdrawal,        /**< The rollout controller withdrew a version. */
    last_kind = withdrawal
};

/** @return Name of the kind as shown to operators. */
[[nodiscard]] std::string_view to_string(commit_kind kind) noexcept;

/** @return True if the rollout controller writes commits of this kind. */
[[nodiscard]] bool is_automatic(commit_kind kind) noexcept;

} // namespace savorywheel

#endif
