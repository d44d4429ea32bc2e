#ifndef SAVORYWHEEL_NODE_FWD_HPP
#define SAVORYWHEEL_NODE_FWD_HPP

namespace savorywheel {

class backend_monitor;
class control_plane;
class document_config_provider;
class link_decorator;
class log_config_provider;
class membership_service;
class node;
class passthrough_links;
class process_signals;
class relay_role;
class table_publisher;

} // namespace savorywheel

#endif
