#ifndef SAVORYWHEEL_TEST_SUPPORT_MESH_MEMBER_HPP
#define SAVORYWHEEL_TEST_SUPPORT_MESH_MEMBER_HPP

#include <cstdint>
#include <string>

namespace savorywheel::test {

/** @brief One node of a local mesh and its backend server. */
struct mesh_member {
    /** @brief Name of the node. */
    std::string name;
    std::string domain;
    std::string region;
    /** @brief Service of the backend server; empty if the node has no backend server. */
    std::string service;
    /** @brief Version of the backend server. */
    std::string version{"v1"};
    /** @brief Concurrency limit of the backend server, in requests. */
    std::uint32_t slots{12};
    /** @brief Further lines of the node's settings. */
    std::string settings{};
};

} // namespace savorywheel::test

#endif
