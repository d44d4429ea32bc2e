#ifndef SAVORYWHEEL_STANDIN_BACKEND_ANNOUNCER_HPP
#define SAVORYWHEEL_STANDIN_BACKEND_ANNOUNCER_HPP

#include <savorywheel/http/http_client.hpp>

#include <standin/backend/backend_handler.hpp>

#include <condition_variable>
#include <mutex>
#include <thread>

namespace savorywheel::standin {

/** @brief Thread that periodically announces a backend server to its node. */
class announcer {
public:
    /**
     * @param handler Provides the announcement; must outlive the announcer.
     * @param client Sends the announcements; must outlive the announcer.
     * @param node Administration endpoint of the node.
     */
    announcer(const backend_handler& handler, http_client& client, network_endpoint node);
    announcer(const announcer&) = delete;
    announcer& operator=(const announcer&) = delete;
    announcer(announcer&&) = delete;
    announcer& operator=(announcer&&) = delete;
    ~announcer();

    /** @brief Sends an announcement immediately. */
    void announce();

private:
    void run();

    const backend_handler& handler_;
    http_client& client_;
    network_endpoint node_;
    std::mutex mutex_;
    std::condition_variable wake_;
    bool stopping_{};
    std::thread thread_;
};

} // namespace savorywheel::standin

#endif
