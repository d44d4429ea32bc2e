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

/** @brief Interface of administration requests to the control thread; thread-safe. */
class node_control {
public:
    node_control() = default;
    node_control(const node_control&) = delete;
    node_control& operator=(const node_control&) = delete;
    node_control(node_control&&) = delete;
    node_control& operator=(node_control&&) = delete;
    virtual ~node_control() = default;

    /** @return Internal state of the node; timeout if the control thread does not respond. */
    [[nodiscard]] virtual outcome<node_state_dump> dump() = 0;

    /** @return Accepted configuration; timeout as above. */
    [[nodiscard]] virtual outcome<mesh_state> configuration() = 0;

    /** @return Latest commits; timeout as above. */
    [[nodiscard]] virtual outcome<std::deque<commit>> history() = 0;

    /** @return Configuration versions in the known failure domains; timeout as above. */
    [[nodiscard]] virtual outcome<std::vector<domain_status>> domains() = 0;

    /** @brief Passes on a commit accepted through this node, which is distributed immediately. */
    virtual void publish_commit(const commit& change) = 0;

    /** @brief Registers the backend server of this node, or updates its state. */
    virtual void announce_backend(const backend_server& backend) = 0;

    /**
     * @brief Applies a numbered announcement and blocks until it is in force at the gate.
     * @return False if a later announcement was applied before; invalid_argument if it is not of
     * a backend server on this VM; conflict if another backend server is in use; timeout as above.
     */
    [[nodiscard]] virtual outcome<bool>
    apply_announcement(const backend_announcement& announcement) = 0;

    /**
     * @brief Deregisters a backend server and blocks until the gate sends it no new requests.
     * @param identity Identity of the backend server.
     */
    [[nodiscard]] virtual outcome<bool> deregister_backend(std::string_view identity) = 0;
};

} // namespace savorywheel

#endif
