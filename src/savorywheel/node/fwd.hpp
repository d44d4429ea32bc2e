#ifndef SAVORYWHEEL_NODE_FWD_HPP
#define SAVORYWHEEL_NODE_FWD_HPP

namespace savorywheel {

class control_plane;
class membership_service;
class node;
class stop_signal;

} // namespace savorywheel

#endif
