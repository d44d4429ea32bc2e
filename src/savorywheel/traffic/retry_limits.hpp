#ifndef SAVORYWHEEL_TRAFFIC_RETRY_LIMITS_HPP
#define SAVORYWHEEL_TRAFFIC_RETRY_LIMITS_HPP

namespace savorywheel {

/** @brief Limits of the retries of each service. */
struct retry_limits {
    /** @brief Retries added to the balance per first attempt. */
    double per_call{0.1};
    /** @brief Maximum balance in retries, as a sum over all nodes. */
    double saved_by_mesh{10.0};
};

} // namespace savorywheel

#endif
