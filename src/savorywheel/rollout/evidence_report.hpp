#ifndef SAVORYWHEEL_ROLLOUT_EVIDENCE_REPORT_HPP
#define SAVORYWHEEL_ROLLOUT_EVIDENCE_REPORT_HPP

#include <savorywheel/rollout/route_evidence.hpp>

#include <vector>

namespace savorywheel {

/** @brief What one node saw of moving services in one period, for their controllers. */
struct evidence_report {
    /** @brief Evidence, by service, version and route. */
    std::vector<route_evidence> items;
};

} // namespace savorywheel

#endif
