#ifndef SAVORYWHEEL_APPS_LOAD_CONFIG_TEXT_HPP
#define SAVORYWHEEL_APPS_LOAD_CONFIG_TEXT_HPP

#include <load/deployment.hpp>

#include <cstddef>
#include <map>
#include <string>

namespace savorywheel::load {

/**
 * @brief Writes the operators' text of a deployment.
 * @param layout The deployment.
 * @param extra_services Services without backend servers, to make the configuration larger.
 * @param edit Number of the edit; each one changes the deadline of the first service's route.
 */
[[nodiscard]] std::string make_config_text(const deployment& layout, std::size_t extra_services,
                                           std::size_t edit);

/**
 * @brief Writes the operators' text of a deployment with a version for each service.
 * @param layout The deployment.
 * @param versions Version by service.
 * @param due Time by which the versions must carry the traffic; empty for none.
 */
[[nodiscard]] std::string
make_rollout_config_text(const deployment& layout,
                         const std::map<std::string, std::string>& versions,
                         const std::string& due);

} // namespace savorywheel::load

#endif
