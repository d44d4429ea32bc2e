#ifndef SAVORYWHEEL_MEMBERSHIP_MEMBER_RECORD_HPP
#define SAVORYWHEEL_MEMBERSHIP_MEMBER_RECORD_HPP

#include <savorywheel/core/names.hpp>
#include <savorywheel/core/network_endpoint.hpp>
#include <savorywheel/membership/server_state.hpp>

#include <cstdint>

namespace savorywheel {

/** @brief Record that a node publishes about itself and its backend server. */
struct member_record {
    node_id id;
    failure_domain domain;
    region_name region;
    /** @brief Endpoint for peers, over TCP and UDP. */
    network_endpoint peer;
    /** @brief Service of the backend server; empty without a backend server. */
    service_name service;
    /** @brief Version of the backend server. */
    version_name version;
    server_state state{server_state::absent};
    /** @brief Maximum number of concurrent requests at the backend server. */
    std::uint32_t slots{};
    /** @brief Incremented by the node with each new record; higher values supersede lower ones. */
    std::uint64_t incarnation{};
    /** @brief False while the node cannot reach the platform's service. */
    bool store_reachable{true};

    [[nodiscard]] friend bool operator==(const member_record&, const member_record&) = default;
};

} // namespace savorywheel

#endif
