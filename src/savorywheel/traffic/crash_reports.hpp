#ifndef SAVORYWHEEL_TRAFFIC_CRASH_REPORTS_HPP
#define SAVORYWHEEL_TRAFFIC_CRASH_REPORTS_HPP

#include <savorywheel/traffic/crash_report.hpp>

#include <vector>

namespace savorywheel {

/** @brief Message between gates of a service: crashes that the sender knows. */
struct crash_reports {
    std::vector<crash_report> items;
};

} // namespace savorywheel

#endif
