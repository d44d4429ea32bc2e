#ifndef SAVORYWHEEL_ROLLOUT_FAULT_FINDING_HPP
#define SAVORYWHEEL_ROLLOUT_FAULT_FINDING_HPP

#include <string>

namespace savorywheel {

/** @brief The strongest evidence against a new version. */
struct fault_finding {
    /** @brief Logarithm of the accumulated e-values; zero if nothing indicates a fault. */
    double score{};
    /** @brief Affected route and its counts, for operators. */
    std::string description;
};

} // namespace savorywheel

#endif
