#ifndef SAVORYWHEEL_ROLLOUT_FWD_HPP
#define SAVORYWHEEL_ROLLOUT_FWD_HPP

namespace savorywheel {

class rollout_policy;
struct rollout_decision;
struct route_evidence;

} // namespace savorywheel

#endif
