#ifndef SAVORYWHEEL_ADMIN_OVERRIDE_ENTRY_HPP
#define SAVORYWHEEL_ADMIN_OVERRIDE_ENTRY_HPP

#include <savorywheel/config/manual_override.hpp>

namespace savorywheel {

/** @brief Override in force on a service. */
struct override_entry {
    service_name service;
    manual_override item;
};

} // namespace savorywheel

#endif
