#ifndef SAVORYWHEEL_APPS_CTL_COMMON_OPTIONS_HPP
#define SAVORYWHEEL_APPS_CTL_COMMON_OPTIONS_HPP

#include <savorywheel/core/network_endpoint.hpp>

#include <ctl/output_format.hpp>

#include <chrono>
#include <string>

namespace savorywheel::ctl {

/** @brief Options of every command. */
struct common_options {
    /** @brief Administration endpoint of the node to ask. */
    network_endpoint node;
    /** @brief Operator's key. */
    std::string key;
    /** @brief How results are printed. */
    output_format output{output_format::text};
    /** @brief Longest wait for an answer. */
    std::chrono::seconds timeout{};
};

} // namespace savorywheel::ctl

#endif
