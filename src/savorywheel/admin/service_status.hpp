#ifndef SAVORYWHEEL_ADMIN_SERVICE_STATUS_HPP
#define SAVORYWHEEL_ADMIN_SERVICE_STATUS_HPP

#include <savorywheel/config/manual_override.hpp>
#include <savorywheel/config/version_weight.hpp>
#include <savorywheel/core/names.hpp>

#include <optional>
#include <string>
#include <vector>

namespace savorywheel {

/** @brief Status of one service, as shown to operators. */
struct service_status {
    service_name service;
    /** @brief Weights in force. */
    std::vector<version_weight> weights;
    /** @brief Status of the latest move: "done", "in progress" or "withdrawn"; empty if none. */
    std::string move;
    /** @brief Reason of the move's status. */
    std::string reason;
    /** @brief Deadline of the move in RFC 3339; empty if none. */
    std::string due;
    std::optional<manual_override> override_in_force;
};

} // namespace savorywheel

#endif
