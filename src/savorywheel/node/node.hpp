#ifndef SAVORYWHEEL_NODE_NODE_HPP
#define SAVORYWHEEL_NODE_NODE_HPP

#include <savorywheel/core/outcome.hpp>
#include <savorywheel/log/event_log.hpp>
#include <savorywheel/node/native_front_end.hpp>
#include <savorywheel/node/passthrough_links.hpp>
#include <savorywheel/settings/node_settings.hpp>

#include <memory>

namespace savorywheel {

/** @brief Mesh node of one backend server: proxy, gate, membership and administration API. */
class node {
public:
    /**
     * @param settings Settings of the node.
     * @param log Event log; must outlive the node.
     * @param links Wraps the network and store interfaces; must outlive the node.
     * @param front Creates the external interfaces; must outlive the node.
     */
    node(node_settings settings, event_log& log,
         link_decorator& links = passthrough_links::instance(),
         const front_end& front = native_front_end::instance());
    node(const node&) = delete;
    node& operator=(const node&) = delete;
    node(node&&) = delete;
    node& operator=(node&&) = delete;
    ~node();

    /**
     * @brief Opens all endpoints and starts all threads.
     * @return Failure with code `unavailable` if an endpoint cannot be bound; true otherwise.
     */
    [[nodiscard]] outcome<bool> start();

    /**
     * @brief Applies the retry limits of new settings; other changes require a restart.
     * @param settings New settings.
     */
    void reload(const node_settings& settings);

    /** @brief Leaves the mesh, drains requests in flight and stops all threads. */
    void stop();

private:
    class components;
    std::unique_ptr<components> components_;
};

} // namespace savorywheel

#endif
