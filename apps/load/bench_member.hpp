#ifndef SAVORYWHEEL_APPS_LOAD_BENCH_MEMBER_HPP
#define SAVORYWHEEL_APPS_LOAD_BENCH_MEMBER_HPP

#include <savorywheel/core/network_endpoint.hpp>

#include <load/deployment_domain.hpp>

#include <string>

namespace savorywheel::load {

/** @brief Node of a benchmark mesh and its backend server. */
struct bench_member {
    std::string name;
    deployment_domain domain;
    /** @brief Service that the backend server provides. */
    std::string service;
    /** @brief Version that the backend server runs. */
    std::string version;
    /** @brief Endpoint for requests of callers. */
    network_endpoint traffic;
    /** @brief Endpoint of the admin API. */
    network_endpoint admin;
    /** @brief Endpoint for messages of other nodes. */
    network_endpoint peer;
    /** @brief Endpoint of the backend server. */
    network_endpoint backend;
};

} // namespace savorywheel::load

#endif
