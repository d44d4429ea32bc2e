#ifndef SAVORYWHEEL_ADMIN_OVERRIDE_REQUEST_HPP
#define SAVORYWHEEL_ADMIN_OVERRIDE_REQUEST_HPP

#include <savorywheel/config/version_weight.hpp>

#include <string>
#include <vector>

namespace savorywheel {

/** @brief Body of a request that sets or releases an override. */
struct override_request {
    /** @brief Weights; their sum is weight_sum_permille. Ignored by a release. */
    std::vector<version_weight> weights;
    std::string reason;
};

} // namespace savorywheel

#endif
