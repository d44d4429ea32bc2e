#ifndef SAVORYWHEEL_ROLLOUT_FWD_HPP
#define SAVORYWHEEL_ROLLOUT_FWD_HPP

namespace savorywheel {

class evidence_accumulator;
class commit_appender;
class evidence_policy;
class evidence_recorder;
class evidence_table;
class fault_monitor;
class fixed_step_policy;
class latency_histogram;
class local_ejector;
class move_controller;
class rollout_policy;
class route_monitor;
class sequential_detector;
class withdrawal_notice_table;
struct evidence_report;
struct fault_finding;
struct move_evidence;
struct rollout_decision;
struct rollout_view;
struct route_evidence;
struct sample_counts;
struct withdrawal_notice;

} // namespace savorywheel

#endif
