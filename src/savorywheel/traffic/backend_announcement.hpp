#ifndef SAVORYWHEEL_TRAFFIC_BACKEND_ANNOUNCEMENT_HPP
#define SAVORYWHEEL_TRAFFIC_BACKEND_ANNOUNCEMENT_HPP

#include <savorywheel/traffic/backend_server.hpp>

#include <cstdint>

namespace savorywheel {

/** @brief Announcement of a backend server that numbers what it says. */
struct backend_announcement {
    /** @brief What the backend server says; its identity is set. */
    backend_server backend;
    /** @brief When this start of the backend server began, by its own clock. */
    std::uint64_t started_at{};
    /** @brief Grows with each announcement since that start. */
    std::uint64_t sequence{};
};

} // namespace savorywheel

#endif
