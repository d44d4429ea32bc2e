#ifndef SAVORYWHEEL_CONFIG_HOST_DELTA_HPP
#define SAVORYWHEEL_CONFIG_HOST_DELTA_HPP

#include <savorywheel/config/host_route.hpp>
#include <savorywheel/config/list_segment.hpp>

#include <string>

namespace savorywheel {

/** @brief Difference of a virtual host from the first one with the same name, if there is one. */
struct host_delta {
    std::string host;
    list_delta<host_route> routes;

    [[nodiscard]] friend bool operator==(const host_delta&, const host_delta&) = default;
};

} // namespace savorywheel

#endif
