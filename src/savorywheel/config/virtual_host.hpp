#ifndef SAVORYWHEEL_CONFIG_VIRTUAL_HOST_HPP
#define SAVORYWHEEL_CONFIG_VIRTUAL_HOST_HPP

#include <savorywheel/config/host_route.hpp>

#include <string>
#include <vector>

namespace savorywheel {

/** @brief Host with its routes. */
struct virtual_host {
    /** @brief Host name as used by callers, without a port. */
    std::string host;
    std::vector<host_route> routes;

    [[nodiscard]] friend bool operator==(const virtual_host&, const virtual_host&) = default;
};

} // namespace savorywheel

#endif
