#ifndef SAVORYWHEEL_NODE_FWD_HPP
#define SAVORYWHEEL_NODE_FWD_HPP

namespace savorywheel {

class backend_monitor;
class control_plane;
class link_decorator;
class membership_service;
class node;
class plain_links;
class relay_role;
class process_signals;
class table_publisher;

} // namespace savorywheel

#endif
