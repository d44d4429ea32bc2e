#ifndef SAVORYWHEEL_ADMIN_OVERRIDE_REQUEST_HPP
#define SAVORYWHEEL_ADMIN_OVERRIDE_REQUEST_HPP

#include <savorywheel/config/version_weight.hpp>

#include <string>
#include <vector>

namespace savorywheel {

/** @brief Body of a request that sets or releases an override. */
struct override_request {
    /** @brief Shares; they add up to weight_sum_permille; none for a release. */
    std::vector<version_weight> weights;
    /** @brief Why. */
    std::string reason;
};

} // namespace savorywheel

#endif
