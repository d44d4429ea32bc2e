#ifndef SAVORYWHEEL_APPS_CTL_COMMON_OPTIONS_HPP
#define SAVORYWHEEL_APPS_CTL_COMMON_OPTIONS_HPP

#include <savorywheel/core/network_endpoint.hpp>

#include <ctl/output_format.hpp>

#include <chrono>
#include <string>

namespace savorywheel::ctl {

/** @brief Options common to all subcommands. */
struct common_options {
    /** @brief Admin endpoint of the node that receives the requests. */
    network_endpoint node;
    /** @brief Operator key; empty sends none. */
    std::string key;
    output_format output{output_format::text};
    /** @brief Request timeout. */
    std::chrono::seconds timeout{};
};

} // namespace savorywheel::ctl

#endif
