#ifndef SAVORYWHEEL_APPS_LOAD_BENCH_MEMBER_HPP
#define SAVORYWHEEL_APPS_LOAD_BENCH_MEMBER_HPP

#include <savorywheel/core/network_endpoint.hpp>

#include <load/deployment_domain.hpp>

#include <string>

namespace savorywheel::load {

/** @brief One node of a mesh under measurement, with its backend server. */
struct bench_member {
    /** @brief Name of the node. */
    std::string name;
    /** @brief Failure domain. */
    deployment_domain domain;
    /** @brief Service of the backend server. */
    std::string service;
    /** @brief Version of the backend server. */
    std::string version;
    /** @brief Where callers send requests. */
    network_endpoint traffic;
    /** @brief Administration endpoint. */
    network_endpoint admin;
    /** @brief Where other nodes reach it. */
    network_endpoint peer;
    /** @brief Endpoint of the backend server. */
    network_endpoint backend;
};

} // namespace savorywheel::load

#endif
