#ifndef SAVORYWHEEL_CONFIG_ROUTE_SPEC_HPP
#define SAVORYWHEEL_CONFIG_ROUTE_SPEC_HPP

#include <savorywheel/core/names.hpp>

#include <chrono>
#include <string>
#include <vector>

namespace savorywheel {

/** @brief One route of a service. */
struct route_spec {
    /** @brief Path prefix, starting with a slash; the longest match wins. */
    std::string path;
    /** @brief True if a call may be executed more than once. */
    bool idempotent{};
    /** @brief Timeout of a call; a caller may ask for a shorter one. */
    std::chrono::milliseconds deadline{};
    /** @brief Services that the route calls; each must be a dependency of the service. */
    std::vector<service_name> calls;
    /** @brief True if requests need no API key. */
    bool is_public{};

    [[nodiscard]] friend bool operator==(const route_spec&, const route_spec&) = default;
};

} // namespace savorywheel

#endif
