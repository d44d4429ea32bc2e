#ifndef SAVORYWHEEL_NODE_FWD_HPP
#define SAVORYWHEEL_NODE_FWD_HPP

namespace savorywheel {

class control_plane;
class link_decorator;
class membership_service;
class node;
class plain_links;
class stop_signal;

} // namespace savorywheel

#endif
