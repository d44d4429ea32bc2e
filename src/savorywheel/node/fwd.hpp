#ifndef SAVORYWHEEL_NODE_FWD_HPP
#define SAVORYWHEEL_NODE_FWD_HPP

namespace savorywheel {

class backend_monitor;
class control_plane;
class document_plane;
class link_decorator;
class log_plane;
class membership_service;
class node;
class plain_links;
class process_signals;
class relay_role;
class table_publisher;

} // namespace savorywheel

#endif
