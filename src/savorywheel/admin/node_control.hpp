#ifndef SAVORYWHEEL_ADMIN_NODE_CONTROL_HPP
#define SAVORYWHEEL_ADMIN_NODE_CONTROL_HPP

#include <savorywheel/admin/domain_status.hpp>
#include <savorywheel/admin/node_state_dump.hpp>
#include <savorywheel/config/mesh_state.hpp>
#include <savorywheel/core/outcome.hpp>
#include <savorywheel/traffic/backend_announcement.hpp>

#include <deque>
#include <memory>
#include <string_view>
#include <vector>

namespace savorywheel {

/** @brief The control thread's state as administration requests see it; any thread may call. */
class node_control {
public:
    node_control() = default;
    node_control(const node_control&) = delete;
    node_control& operator=(const node_control&) = delete;
    node_control(node_control&&) = delete;
    node_control& operator=(node_control&&) = delete;
    virtual ~node_control() = default;

    /** @return State of the node; timeout if the control thread does not answer. */
    [[nodiscard]] virtual outcome<node_state_dump> dump() = 0;

    /** @return Accepted configuration; timeout if the control thread does not answer. */
    [[nodiscard]] virtual outcome<mesh_state> configuration() = 0;

    /** @return Latest commits; timeout if the control thread does not answer. */
    [[nodiscard]] virtual outcome<std::deque<commit>> history() = 0;

    /** @return What is known of the failure domains; timeout as above. */
    [[nodiscard]] virtual outcome<std::vector<domain_status>> domains() = 0;

    /** @brief Hears of a commit that was accepted through this node, so that it spreads at once. */
    virtual void publish_commit(const commit& change) = 0;

    /** @brief Takes an announcement of the backend server beside the node. */
    virtual void announce_backend(const backend_server& backend) = 0;

    /**
     * @brief Takes a numbered announcement, and waits until it is in force at the gate.
     * @return False if a later announcement was taken before; timeout as above.
     */
    [[nodiscard]] virtual outcome<bool>
    apply_announcement(const backend_announcement& announcement) = 0;

    /**
     * @brief Hears that a backend server leaves, and waits until the gate sends it nothing new.
     * @param identity The backend server.
     */
    [[nodiscard]] virtual outcome<bool> deregister_backend(std::string_view identity) = 0;
};

} // namespace savorywheel

#endif
