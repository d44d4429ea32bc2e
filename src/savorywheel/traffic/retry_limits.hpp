#ifndef SAVORYWHEEL_TRAFFIC_RETRY_LIMITS_HPP
#define SAVORYWHEEL_TRAFFIC_RETRY_LIMITS_HPP

namespace savorywheel {

/** @brief Limits of the retries of each service. */
struct retry_limits {
    /** @brief Retries added to the balance of a service by the first attempt of each call. */
    double per_call{0.1};
    /** @brief Maximum unused retries of a service, summed over all nodes of the mesh. */
    double saved_by_mesh{10.0};
};

} // namespace savorywheel

#endif
