#ifndef SAVORYWHEEL_SETTINGS_FWD_HPP
#define SAVORYWHEEL_SETTINGS_FWD_HPP

namespace savorywheel {

struct node_settings;
struct operator_key;

} // namespace savorywheel

#endif
