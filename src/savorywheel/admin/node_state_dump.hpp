#ifndef SAVORYWHEEL_ADMIN_NODE_STATE_DUMP_HPP
#define SAVORYWHEEL_ADMIN_NODE_STATE_DUMP_HPP

#include <savorywheel/core/config_version.hpp>
#include <savorywheel/core/names.hpp>
#include <savorywheel/membership/member_update.hpp>

#include <cstdint>
#include <optional>
#include <vector>

namespace savorywheel {

/** @brief State of a node, for people who look into a fault. */
struct node_state_dump {
    /** @brief The node. */
    node_id node;
    /** @brief Its failure domain. */
    failure_domain domain;
    /** @brief Configuration version in force. */
    config_version version;
    /** @brief Latest configuration version that it knows. */
    config_version known_version;
    /** @brief Lowest configuration version that it may use. */
    config_version floor;
    /** @brief True if it knows that floor; it uses no configuration before. */
    bool floor_known{};
    /** @brief Whether the store answered its last read; nothing if it has not read. */
    std::optional<bool> store_reachable;
    /** @brief True if it relays changes into its failure domain. */
    bool relay{};
    /** @brief Calls that run at its backend server. */
    std::uint32_t running{};
    /** @brief Calls that wait for its backend server. */
    std::uint64_t waiting{};
    /** @brief Members that it knows. */
    std::vector<member_update> members;
};

} // namespace savorywheel

#endif
