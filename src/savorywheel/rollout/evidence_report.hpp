#ifndef SAVORYWHEEL_ROLLOUT_EVIDENCE_REPORT_HPP
#define SAVORYWHEEL_ROLLOUT_EVIDENCE_REPORT_HPP

#include <savorywheel/rollout/route_evidence.hpp>

#include <vector>

namespace savorywheel {

/** @brief Evidence of services with a move, sent by one node towards their controllers. */
struct evidence_report {
    /** @brief One item per service, version, route and distance. */
    std::vector<route_evidence> items;
};

} // namespace savorywheel

#endif
