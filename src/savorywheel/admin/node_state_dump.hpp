#ifndef SAVORYWHEEL_ADMIN_NODE_STATE_DUMP_HPP
#define SAVORYWHEEL_ADMIN_NODE_STATE_DUMP_HPP

#include <savorywheel/core/config_version.hpp>
#include <savorywheel/core/names.hpp>
#include <savorywheel/membership/member_update.hpp>

#include <cstdint>
#include <optional>
#include <vector>

namespace savorywheel {

/** @brief Internal state of a node, for troubleshooting. */
struct node_state_dump {
    node_id node;
    failure_domain domain;
    /** @brief Configuration version in force. */
    config_version version;
    /** @brief Latest configuration version known to the node. */
    config_version known_version;
    /** @brief Lowest configuration version that the node may use. */
    config_version floor;
    /** @brief True if `floor` is known; until then the node uses no configuration. */
    bool floor_known{};
    /** @brief Whether the last store read succeeded; std::nullopt before the first read. */
    std::optional<bool> store_reachable;
    /** @brief True if the node relays changes into its failure domain. */
    bool relay{};
    /** @brief Calls in flight at the node's backend server. */
    std::uint32_t running{};
    /** @brief Calls queued for the node's backend server. */
    std::uint64_t waiting{};
    /** @brief Members known to the node. */
    std::vector<member_update> members;
};

} // namespace savorywheel

#endif
