#ifndef SAVORYWHEEL_ADMIN_OVERRIDE_ENTRY_HPP
#define SAVORYWHEEL_ADMIN_OVERRIDE_ENTRY_HPP

#include <savorywheel/config/manual_override.hpp>

namespace savorywheel {

/** @brief An override in force and its service. */
struct override_entry {
    /** @brief Service. */
    service_name service;
    /** @brief The override. */
    manual_override item;
};

} // namespace savorywheel

#endif
