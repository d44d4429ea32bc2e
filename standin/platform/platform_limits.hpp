#ifndef SAVORYWHEEL_STANDIN_PLATFORM_PLATFORM_LIMITS_HPP
#define SAVORYWHEEL_STANDIN_PLATFORM_PLATFORM_LIMITS_HPP

namespace savorywheel::standin {

/** @brief Rate limits of the platform stand-in, in calls per second; zero for no limit. */
struct platform_limits {
    /** @brief Reads, lists and watches. */
    double reads_per_second{2000.0};
    /** @brief Writes and removals. */
    double writes_per_second{300.0};
};

} // namespace savorywheel::standin

#endif
