#ifndef SAVORYWHEEL_CONFIG_DOMAIN_SPEC_HPP
#define SAVORYWHEEL_CONFIG_DOMAIN_SPEC_HPP

#include <savorywheel/core/names.hpp>

namespace savorywheel {

/** @brief A failure domain and its region. */
struct domain_spec {
    failure_domain name;
    region_name region;

    [[nodiscard]] friend bool operator==(const domain_spec&, const domain_spec&) = default;
};

} // namespace savorywheel

#endif
