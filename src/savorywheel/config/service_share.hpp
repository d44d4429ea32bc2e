#ifndef SAVORYWHEEL_CONFIG_SERVICE_SHARE_HPP
#define SAVORYWHEEL_CONFIG_SERVICE_SHARE_HPP

#include <savorywheel/core/names.hpp>

#include <cstdint>

namespace savorywheel {

/** @brief One of the services that a route's requests are split between. */
struct service_share {
    /** @brief Service. */
    service_name service;
    /** @brief Share, relative to the sum over the route. */
    std::uint32_t weight{};

    /** @brief Compares both members. */
    [[nodiscard]] friend bool operator==(const service_share&, const service_share&) = default;
};

} // namespace savorywheel

#endif
