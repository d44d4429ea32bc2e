#ifndef SAVORYWHEEL_TRAFFIC_BACKEND_SERVER_HPP
#define SAVORYWHEEL_TRAFFIC_BACKEND_SERVER_HPP

#include <savorywheel/core/names.hpp>
#include <savorywheel/core/network_endpoint.hpp>
#include <savorywheel/membership/server_state.hpp>

#include <cstdint>
#include <string>

namespace savorywheel {

/** @brief What the backend server beside a node announces about itself. */
struct backend_server {
    /** @brief Service. */
    service_name service;
    /** @brief Version. */
    version_name version;
    /** @brief Where it takes requests. */
    network_endpoint endpoint;
    /** @brief State. */
    server_state state{server_state::absent};
    /** @brief Requests that it runs at one time. */
    std::uint32_t slots{};
    /** @brief Identifies this start of the backend server, if it names itself. */
    std::string identity{};

    /** @brief Compares all members. */
    [[nodiscard]] friend bool operator==(const backend_server&, const backend_server&) = default;
};

} // namespace savorywheel

#endif
