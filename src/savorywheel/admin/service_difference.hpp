#ifndef SAVORYWHEEL_ADMIN_SERVICE_DIFFERENCE_HPP
#define SAVORYWHEEL_ADMIN_SERVICE_DIFFERENCE_HPP

#include <savorywheel/config/manual_override.hpp>
#include <savorywheel/core/names.hpp>

#include <optional>
#include <string>
#include <vector>

namespace savorywheel {

/** @brief Changes of one service that applying a configuration text would make. */
struct service_difference {
    service_name service;
    /** @brief "added", "removed", "changed" or "same". */
    std::string change;
    /** @brief One line per changed part. */
    std::vector<std::string> details;
    /** @brief Override in force; applying the text does not change it. */
    std::optional<manual_override> override_in_force;
};

} // namespace savorywheel

#endif
