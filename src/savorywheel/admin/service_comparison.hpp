#ifndef SAVORYWHEEL_ADMIN_SERVICE_COMPARISON_HPP
#define SAVORYWHEEL_ADMIN_SERVICE_COMPARISON_HPP

#include <savorywheel/config/service_spec.hpp>

#include <span>
#include <string>
#include <vector>

namespace savorywheel {

/**
 * @brief Describes the changes between two configurations of a service.
 * @param old Current configuration.
 * @param desired Desired configuration.
 * @return One line per changed part; empty if nothing changes.
 */
[[nodiscard]] std::vector<std::string> compare_service(const service_spec& old,
                                                       const service_spec& desired);

/** @return Weights in percent, such as "v1 90 %, v2 10 %". */
[[nodiscard]] std::string describe_weights(std::span<const version_weight> weights);

} // namespace savorywheel

#endif
