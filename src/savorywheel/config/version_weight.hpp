#ifndef SAVORYWHEEL_CONFIG_VERSION_WEIGHT_HPP
#define SAVORYWHEEL_CONFIG_VERSION_WEIGHT_HPP

#include <savorywheel/core/names.hpp>

#include <cstdint>

namespace savorywheel {

/** @brief Sum of the weights of one service: parts per thousand, so that small shares fit. */
inline constexpr std::uint32_t weight_sum_permille = 1000;

/** @brief Share of a service's calls that one version gets. */
struct version_weight {
    /** @brief Version of the backend servers. */
    version_name version;
    /** @brief Share, in parts per thousand. */
    std::uint32_t permille{};

    /** @brief Compares both members. */
    [[nodiscard]] friend bool operator==(const version_weight&, const version_weight&) = default;
};

} // namespace savorywheel

#endif
