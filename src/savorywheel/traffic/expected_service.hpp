#ifndef SAVORYWHEEL_TRAFFIC_EXPECTED_SERVICE_HPP
#define SAVORYWHEEL_TRAFFIC_EXPECTED_SERVICE_HPP

#include <savorywheel/core/clock.hpp>

namespace savorywheel {

/** @brief Expected service time of a call, without queueing. */
struct expected_service {
    /** @brief Mean of such calls; zero if unknown. */
    duration mean{};
    /** @brief A time that about 95 of 100 such calls do not exceed; zero if unknown. */
    duration high{};
    /** @brief True if it is short relative to the calls that occupy the backend server. */
    bool is_short{};
};

} // namespace savorywheel

#endif
