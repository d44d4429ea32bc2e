#ifndef SAVORYWHEEL_DISTRIBUTION_CHECKPOINT_HPP
#define SAVORYWHEEL_DISTRIBUTION_CHECKPOINT_HPP

#include <savorywheel/config/domain_spec.hpp>
#include <savorywheel/config/service_state.hpp>
#include <savorywheel/config/tenant_spec.hpp>
#include <savorywheel/core/config_version.hpp>

#include <vector>

namespace savorywheel {

/** @brief Snapshot of the complete committed configuration at one version. */
struct checkpoint {
    config_version version;
    std::vector<domain_spec> domains;
    std::vector<service_state> services;
    std::vector<tenant_spec> tenants{};
};

} // namespace savorywheel

#endif
