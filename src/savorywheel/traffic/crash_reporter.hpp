#ifndef SAVORYWHEEL_TRAFFIC_CRASH_REPORTER_HPP
#define SAVORYWHEEL_TRAFFIC_CRASH_REPORTER_HPP

#include <savorywheel/traffic/crash_report.hpp>

namespace savorywheel {

/** @brief Sends crash reports to the other gates of a service. */
class crash_reporter {
public:
    crash_reporter() = default;
    crash_reporter(const crash_reporter&) = delete;
    crash_reporter& operator=(const crash_reporter&) = delete;
    crash_reporter(crash_reporter&&) = delete;
    crash_reporter& operator=(crash_reporter&&) = delete;
    virtual ~crash_reporter() = default;

    /** @brief Sends a report and blocks until the gates have acknowledged it or a timeout. */
    virtual void broadcast(const crash_report& report) = 0;
};

} // namespace savorywheel

#endif
