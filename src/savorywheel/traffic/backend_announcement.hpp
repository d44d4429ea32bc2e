#ifndef SAVORYWHEEL_TRAFFIC_BACKEND_ANNOUNCEMENT_HPP
#define SAVORYWHEEL_TRAFFIC_BACKEND_ANNOUNCEMENT_HPP

#include <savorywheel/traffic/backend_server.hpp>

#include <cstdint>

namespace savorywheel {

/** @brief Announcement of a backend server with a sequence number, to detect stale ones. */
struct backend_announcement {
    /** @brief Announced state; the identity is set. */
    backend_server backend;
    /** @brief Failure domain of its VM. */
    failure_domain domain;
    /** @brief Start time of the backend server process, by its own clock. */
    std::uint64_t started_at{};
    /** @brief Increases with each announcement of that process. */
    std::uint64_t sequence{};
};

} // namespace savorywheel

#endif
