#ifndef SAVORYWHEEL_CONFIG_ROUTE_SPEC_HPP
#define SAVORYWHEEL_CONFIG_ROUTE_SPEC_HPP

#include <savorywheel/core/names.hpp>

#include <chrono>
#include <string>
#include <vector>

namespace savorywheel {

/** @brief One route of a service. */
struct route_spec {
    /** @brief Path prefix, which starts with a slash; the longest match decides. */
    std::string path;
    /** @brief True if a call may be executed more than once. */
    bool idempotent{};
    /** @brief Time in which a call must be answered, unless its caller asks for less. */
    std::chrono::milliseconds deadline{};
    /** @brief Services that the route calls; each is a dependency of the service. */
    std::vector<service_name> calls;

    /** @brief Compares all members. */
    [[nodiscard]] friend bool operator==(const route_spec&, const route_spec&) = default;
};

} // namespace savorywheel

#endif
