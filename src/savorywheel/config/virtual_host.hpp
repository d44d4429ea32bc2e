#ifndef SAVORYWHEEL_CONFIG_VIRTUAL_HOST_HPP
#define SAVORYWHEEL_CONFIG_VIRTUAL_HOST_HPP

#include <savorywheel/config/host_route.hpp>

#include <string>
#include <vector>

namespace savorywheel {

/** @brief Routes of one host. */
struct virtual_host {
    /** @brief Host as callers give it, without a port. */
    std::string host;
    /** @brief Routes. */
    std::vector<host_route> routes;

    /** @brief Compares both members. */
    [[nodiscard]] friend bool operator==(const virtual_host&, const virtual_host&) = default;
};

} // namespace savorywheel

#endif
