#ifndef SAVORYWHEEL_MEMBERSHIP_MEMBER_RECORD_HPP
#define SAVORYWHEEL_MEMBERSHIP_MEMBER_RECORD_HPP

#include <savorywheel/core/names.hpp>
#include <savorywheel/core/network_endpoint.hpp>
#include <savorywheel/membership/server_state.hpp>

#include <cstdint>

namespace savorywheel {

/** @brief What a node says about itself and the backend server beside it. */
struct member_record {
    /** @brief The node. */
    node_id id;
    /** @brief Its failure domain. */
    failure_domain domain;
    /** @brief Its region. */
    region_name region;
    /** @brief Where other nodes reach it, over TCP and UDP. */
    network_endpoint peer;
    /** @brief Service of its backend server; empty if there is none. */
    service_name service;
    /** @brief Version of its backend server. */
    version_name version;
    /** @brief State of its backend server. */
    server_state state{server_state::absent};
    /** @brief Requests that its backend server runs at one time. */
    std::uint32_t slots{};
    /** @brief Grows each time the node says something new; greater ones prevail. */
    std::uint64_t incarnation{};
    /** @brief False while the platform's service does not answer this node. */
    bool store_reachable{true};

    /** @brief Compares all members. */
    [[nodiscard]] friend bool operator==(const member_record&, const member_record&) = default;
};

} // namespace savorywheel

#endif
