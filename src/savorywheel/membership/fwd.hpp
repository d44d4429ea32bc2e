#ifndef SAVORYWHEEL_MEMBERSHIP_FWD_HPP
#define SAVORYWHEEL_MEMBERSHIP_FWD_HPP

namespace savorywheel {

class member_table;
class swim_agent;
struct member_record;
struct member_update;
struct membership_message;
struct membership_settings;
struct membership_sync_message;

} // namespace savorywheel

#endif
