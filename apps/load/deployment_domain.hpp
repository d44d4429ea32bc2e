#ifndef SAVORYWHEEL_APPS_LOAD_DEPLOYMENT_DOMAIN_HPP
#define SAVORYWHEEL_APPS_LOAD_DEPLOYMENT_DOMAIN_HPP

#include <cstddef>
#include <string>

namespace savorywheel::load {

/** @brief Failure domain of a deployment. */
struct deployment_domain {
    /** @brief Name. */
    std::string name;
    /** @brief Region. */
    std::string region;
    /** @brief Position of the region in the deployment. */
    std::size_t region_index{};
};

} // namespace savorywheel::load

#endif
