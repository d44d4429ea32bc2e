#ifndef SAVORYWHEEL_APPS_LOAD_CONFIG_TEXT_HPP
#define SAVORYWHEEL_APPS_LOAD_CONFIG_TEXT_HPP

#include <load/deployment.hpp>

#include <cstddef>
#include <map>
#include <string>

namespace savorywheel::load {

/**
 * @brief Generates the configuration text of a deployment.
 * @param layout Failure domains and services.
 * @param extra_services Additional services without backend servers, to enlarge the configuration.
 * @param edit Added in milliseconds to the deadline of the first service's route, so that each edit
 * is a change.
 */
[[nodiscard]] std::string make_config_text(const deployment& layout, std::size_t extra_services,
                                           std::size_t edit);

/**
 * @brief Generates the configuration text of a deployment with target versions.
 * @param layout Failure domains and services.
 * @param versions Target version by service; "v1" for services that are absent.
 * @param due Deadline of the moves; empty for none.
 */
[[nodiscard]] std::string
make_rollout_config_text(const deployment& layout,
                         const std::map<std::string, std::string>& versions,
                         const std::string& due);

} // namespace savorywheel::load

#endif
