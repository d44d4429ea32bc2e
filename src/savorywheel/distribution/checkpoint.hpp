#ifndef SAVORYWHEEL_DISTRIBUTION_CHECKPOINT_HPP
#define SAVORYWHEEL_DISTRIBUTION_CHECKPOINT_HPP

#include <savorywheel/config/domain_spec.hpp>
#include <savorywheel/config/service_state.hpp>
#include <savorywheel/core/config_version.hpp>

#include <vector>

namespace savorywheel {

/** @brief The whole accepted configuration at one version. */
struct checkpoint {
    /** @brief Version. */
    config_version version;
    /** @brief Failure domains. */
    std::vector<domain_spec> domains;
    /** @brief Services. */
    std::vector<service_state> services;
};

} // namespace savorywheel

#endif
