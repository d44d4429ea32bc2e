#ifndef SAVORYWHEEL_APPS_LOAD_DEPLOYMENT_DOMAIN_HPP
#define SAVORYWHEEL_APPS_LOAD_DEPLOYMENT_DOMAIN_HPP

#include <cstddef>
#include <string>

namespace savorywheel::load {

/** @brief Failure domain of a deployment. */
struct deployment_domain {
    std::string name;
    std::string region;
    /** @brief Index of the region in the deployment. */
    std::size_t region_index{};
};

} // namespace savorywheel::load

#endif
