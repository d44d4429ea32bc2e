#ifndef SAVORYWHEEL_APPS_LOAD_MESH_TEXT_HPP
#define SAVORYWHEEL_APPS_LOAD_MESH_TEXT_HPP

#include <load/deployment.hpp>

#include <cstddef>
#include <string>

namespace savorywheel::load {

/**
 * @brief Writes the operators' text of a deployment.
 * @param layout The deployment.
 * @param extra_services Services without backend servers, to make the configuration larger.
 * @param edit Number of the edit; each one changes the deadline of the first service's route.
 */
[[nodiscard]] std::string make_mesh_text(const deployment& layout, std::size_t extra_services,
                                         std::size_t edit);

} // namespace savorywheel::load

#endif
