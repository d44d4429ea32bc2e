#ifndef SAVORYWHEEL_CONFIG_VERSION_WEIGHT_HPP
#define SAVORYWHEEL_CONFIG_VERSION_WEIGHT_HPP

#include <savorywheel/core/names.hpp>

#include <cstdint>

namespace savorywheel {

/** @brief Sum of the weights of one service; a permille scale allows steps of 0.1 %. */
inline constexpr std::uint32_t weight_sum_permille = 1000;

/** @brief Share of a service's calls that one version receives. */
struct version_weight {
    /** @brief Version of the backend servers. */
    version_name version;
    /** @brief Share in parts per thousand. */
    std::uint32_t permille{};

    [[nodiscard]] friend bool operator==(const version_weight&, const version_weight&) = default;
};

} // namespace savorywheel

#endif
