#ifndef SAVORYWHEEL_APPS_LOAD_LOAD_TARGET_HPP
#define SAVORYWHEEL_APPS_LOAD_LOAD_TARGET_HPP

#include <savorywheel/core/names.hpp>
#include <savorywheel/core/network_endpoint.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace savorywheel::load {

/** @brief One kind of request, and its share of the load. */
struct load_target {
    /** @brief Service. */
    service_name service;
    /** @brief HTTP method. */
    std::string method{"GET"};
    /** @brief Path with its query. */
    std::string path;
    /** @brief Size of the body. */
    std::size_t body_bytes{};
    /** @brief Share of the requests, relative to the other targets; positive. */
    std::uint32_t weight{1};
    /** @brief Backend servers of the service, for direct calls; none if they are not wanted. */
    std::vector<network_endpoint> backends;
};

} // namespace savorywheel::load

#endif
