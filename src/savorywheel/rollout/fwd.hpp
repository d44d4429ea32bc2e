#ifndef SAVORYWHEEL_ROLLOUT_FWD_HPP
#define SAVORYWHEEL_ROLLOUT_FWD_HPP

namespace savorywheel {

class evidence_policy;
class fault_monitor;
class fixed_step_policy;
class latency_histogram;
class rollout_policy;
class route_monitor;
class sequential_detector;
struct fault_finding;
struct rollout_decision;
struct rollout_view;
struct route_evidence;
struct sample_counts;

} // namespace savorywheel

#endif
