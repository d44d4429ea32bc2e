#ifndef SAVORYWHEEL_CONFIG_SERVICE_SHARE_HPP
#define SAVORYWHEEL_CONFIG_SERVICE_SHARE_HPP

#include <savorywheel/core/names.hpp>

#include <cstdint>

namespace savorywheel {

/** @brief Destination service of a route and its share of the requests. */
struct service_share {
    service_name service;
    /** @brief Weight, relative to the sum of the route's weights. */
    std::uint32_t weight{};

    [[nodiscard]] friend bool operator==(const service_share&, const service_share&) = default;
};

} // namespace savorywheel

#endif
