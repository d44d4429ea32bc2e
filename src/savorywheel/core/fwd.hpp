#ifndef SAVORYWHEEL_CORE_FWD_HPP
#define SAVORYWHEEL_CORE_FWD_HPP

namespace savorywheel {

class clock;
class control_loop;
class findings;
class random_source;
class scheduler;
class seeded_random;
class subscription;
class system_clock_source;
class timer_service;
struct config_version;
struct failure;
struct finding;
struct network_endpoint;
struct text_position;
template<typename Type>
class outcome;

} // namespace savorywheel

#endif
