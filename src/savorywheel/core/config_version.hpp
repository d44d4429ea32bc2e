#ifndef SAVORYWHEEL_CORE_CONFIG_VERSION_HPP
#define SAVORYWHEEL_CORE_CONFIG_VERSION_HPP

#include <compare>
#include <cstdint>

namespace savorywheel {

/** @brief Position of a commit in the ordered log; zero precedes the first commit. */
struct config_version {
    /** @brief Sequence number; the first commit is 1. */
    std::uint64_t number{};

    /** @return The version directly after this one. */
    [[nodiscard]] constexpr config_version next() const noexcept { return {number + 1}; }

    [[nodiscard]] friend constexpr auto operator<=>(const config_version&,
                                                    const config_version&) = default;
};

} // namespace savorywheel

#endif
