#ifndef SAVORYWHEEL_CONFIG_OPERATOR_CONFIGURATION_HPP
#define SAVORYWHEEL_CONFIG_OPERATOR_CONFIGURATION_HPP

#include <savorywheel/config/virtual_host.hpp>
#include <savorywheel/core/config_version.hpp>

#include <vector>

namespace savorywheel {

/** @brief Whole configuration that operators keep in one object of the platform's service. */
struct operator_configuration {
    /** @brief Its version; greater ones are newer, with gaps between them. */
    config_version version;
    /** @brief Services. */
    std::vector<service_name> services;
    /** @brief Hosts with their routes. */
    std::vector<virtual_host> hosts;

    /** @brief Compares all members. */
    [[nodiscard]] friend bool operator==(const operator_configuration&,
                                         const operator_configuration&) = default;
};

} // namespace savorywheel

#endif
