#ifndef SAVORYWHEEL_TEST_SUPPORT_MESH_MEMBER_HPP
#define SAVORYWHEEL_TEST_SUPPORT_MESH_MEMBER_HPP

#include <cstdint>
#include <string>

namespace savorywheel::test {

/** @brief One node of a local mesh, with the backend server beside it. */
struct mesh_member {
    /** @brief Name of the node. */
    std::string name;
    /** @brief Failure domain. */
    std::string domain;
    /** @brief Region. */
    std::string region;
    /** @brief Service of the backend server; empty for none. */
    std::string service;
    /** @brief Version of the backend server. */
    std::string version{"v1"};
    /** @brief Requests that the backend server runs at one time. */
    std::uint32_t slots{12};
};

} // namespace savorywheel::test

#endif
