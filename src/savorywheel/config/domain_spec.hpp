#ifndef SAVORYWHEEL_CONFIG_DOMAIN_SPEC_HPP
#define SAVORYWHEEL_CONFIG_DOMAIN_SPEC_HPP

#include <savorywheel/core/names.hpp>

namespace savorywheel {

/** @brief One failure domain and the region it lies in. */
struct domain_spec {
    /** @brief Name of the failure domain. */
    failure_domain name;
    /** @brief Region. */
    region_name region;

    /** @brief Compares both members. */
    [[nodiscard]] friend bool operator==(const domain_spec&, const domain_spec&) = default;
};

} // namespace savorywheel

#endif
