#ifndef SAVORYWHEEL_ROLLOUT_FAULT_FINDING_HPP
#define SAVORYWHEEL_ROLLOUT_FAULT_FINDING_HPP

#include <string>

namespace savorywheel {

/** @brief The strongest evidence against a new version. */
struct fault_finding {
    /** @brief Logarithm of the evidence; zero if there is none. */
    double score{};
    /** @brief What was seen and where, for operators. */
    std::string description;
};

} // namespace savorywheel

#endif
