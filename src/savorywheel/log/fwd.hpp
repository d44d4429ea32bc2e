#ifndef SAVORYWHEEL_LOG_FWD_HPP
#define SAVORYWHEEL_LOG_FWD_HPP

namespace savorywheel {

class event_log;
class log4cxx_event_log;
struct event_description;

} // namespace savorywheel

#endif
