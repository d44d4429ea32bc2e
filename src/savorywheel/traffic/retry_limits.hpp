#ifndef SAVORYWHEEL_TRAFFIC_RETRY_LIMITS_HPP
#define SAVORYWHEEL_TRAFFIC_RETRY_LIMITS_HPP

namespace savorywheel {

/** @brief Bounds on the retries of each service. */
struct retry_limits {
    /** @brief Retries that each first attempt earns. */
    double per_call{0.1};
    /** @brief Most retries that all nodes together save up. */
    double saved_by_mesh{10.0};
};

} // namespace savorywheel

#endif
