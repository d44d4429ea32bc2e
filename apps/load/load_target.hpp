#ifndef SAVORYWHEEL_APPS_LOAD_LOAD_TARGET_HPP
#define SAVORYWHEEL_APPS_LOAD_LOAD_TARGET_HPP

#include <savorywheel/core/names.hpp>
#include <savorywheel/core/network_endpoint.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace savorywheel::load {

/** @brief Request type and its weight in the load. */
struct load_target {
    service_name service;
    std::string method{"GET"};
    /** @brief Path and query. */
    std::string path;
    /** @brief Size of the request body in bytes. */
    std::size_t body_bytes{};
    /** @brief Weight relative to the other targets; positive. */
    std::uint32_t weight{1};
    /** @brief Backend servers for direct requests; required only with alternate_direct. */
    std::vector<network_endpoint> backends;
};

} // namespace savorywheel::load

#endif
