#ifndef SAVORYWHEEL_TRAFFIC_BACKEND_SERVER_HPP
#define SAVORYWHEEL_TRAFFIC_BACKEND_SERVER_HPP

#include <savorywheel/core/names.hpp>
#include <savorywheel/core/network_endpoint.hpp>
#include <savorywheel/membership/server_state.hpp>

#include <cstdint>
#include <string>

namespace savorywheel {

/** @brief State that a backend server announces to its co-located node. */
struct backend_server {
    service_name service;
    version_name version;
    /** @brief Address on which it accepts requests. */
    network_endpoint endpoint;
    server_state state{server_state::absent};
    /** @brief Number of requests that it runs concurrently. */
    std::uint32_t slots{};
    /** @brief Identifies the backend server process; empty if not announced. */
    std::string identity{};

    [[nodiscard]] friend bool operator==(const backend_server&, const backend_server&) = default;
};

} // namespace savorywheel

#endif
