#ifndef SAVORYWHEEL_NODE_BACKEND_PLACEMENT_HPP
#define SAVORYWHEEL_NODE_BACKEND_PLACEMENT_HPP

#include <savorywheel/settings/node_settings.hpp>
#include <savorywheel/traffic/backend_announcement.hpp>

#include <optional>
#include <string>

namespace savorywheel {

/** @brief What the settings say about the backend server on a VM. */
struct backend_placement {
    /** @brief Service of the VM; empty if any service may run there. */
    service_name service;
    /** @brief Failure domain of the VM. */
    failure_domain domain;
    /** @brief IP address of the VM. */
    std::string address;

    /** @return The mismatch if an announcement is not of a backend server on this VM. */
    [[nodiscard]] std::optional<std::string>
    find_mismatch(const backend_announcement& announcement) const;
};

/** @return Placement of the backend server next to the node with the settings. */
[[nodiscard]] backend_placement make_backend_placement(const node_settings& settings);

} // namespace savorywheel

#endif
