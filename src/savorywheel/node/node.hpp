#ifndef SAVORYWHEEL_NODE_NODE_HPP
#define SAVORYWHEEL_NODE_NODE_HPP

#include <savorywheel/core/outcome.hpp>
#include <savorywheel/log/event_log.hpp>
#include <savorywheel/node/native_front_end.hpp>
#include <savorywheel/node/passthrough_links.hpp>
#include <savorywheel/settings/node_settings.hpp>

#include <memory>

namespace savorywheel {

/** @brief The process beside each backend server: proxy, gate, member and administration API. */
class node {
public:
    /**
     * @param settings Settings.
     * @param log Log; must outlive the node.
     * @param links Layers around the links; must outlive the node.
     * @param front What the node speaks with its surroundings; must outlive the node.
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
     * @brief Starts all threads and listens.
     * @return unavailable if an endpoint cannot be bound.
     */
    [[nodiscard]] outcome<bool> start();

    /**
     * @brief Takes the bounds on retries from new settings; the rest needs a new start.
     * @param settings Settings.
     */
    void reload(const node_settings& settings);

    /** @brief Leaves the mesh, finishes requests in progress, and ends all threads. */
    void stop();

private:
    class components;
    std::unique_ptr<components> components_;
};

} // namespace savorywheel

#endif
