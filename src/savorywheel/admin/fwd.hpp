#ifndef SAVORYWHEEL_ADMIN_FWD_HPP
#define SAVORYWHEEL_ADMIN_FWD_HPP

namespace savorywheel {

class admin_handler;
class change_service;
class node_control;
class operator_directory;
struct change_report;
struct node_state_dump;
struct service_status;
struct status_report;

} // namespace savorywheel

#endif
