#ifndef SAVORYWHEEL_ADMIN_SERVICE_DIFFERENCE_HPP
#define SAVORYWHEEL_ADMIN_SERVICE_DIFFERENCE_HPP

#include <savorywheel/config/manual_override.hpp>
#include <savorywheel/core/names.hpp>

#include <optional>
#include <string>
#include <vector>

namespace savorywheel {

/** @brief What a text would change about one service. */
struct service_difference {
    /** @brief Service. */
    service_name service;
    /** @brief "added", "removed", "changed" or "same". */
    std::string change;
    /** @brief One sentence per changed part. */
    std::vector<std::string> details;
    /** @brief Override in force, which the text leaves as it is. */
    std::optional<manual_override> override_in_force;
};

} // namespace savorywheel

#endif
