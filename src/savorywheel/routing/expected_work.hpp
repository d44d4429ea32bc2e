#ifndef SAVORYWHEEL_ROUTING_EXPECTED_WORK_HPP
#define SAVORYWHEEL_ROUTING_EXPECTED_WORK_HPP

#include <savorywheel/core/clock.hpp>

namespace savorywheel {

/** @brief Expected service time of a call at a backend server of average speed. */
struct expected_work {
    /** @brief Arithmetic mean; zero if nothing is known about such calls. */
    duration mean{};
    /** @brief Geometric mean, which a single long call hardly changes; the reference for speeds. */
    duration typical{};
    /** @brief Deviation of single calls relative to the mean. */
    double spread{0.5};
};

} // namespace savorywheel

#endif
