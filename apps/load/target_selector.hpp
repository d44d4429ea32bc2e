#ifndef SAVORYWHEEL_APPS_LOAD_TARGET_SELECTOR_HPP
#define SAVORYWHEEL_APPS_LOAD_TARGET_SELECTOR_HPP

#include <savorywheel/core/random_source.hpp>

#include <load/load_target.hpp>

#include <span>

namespace savorywheel::load {

/**
 * @brief Selects a random target with a probability proportional to its weight.
 * @param targets Candidates; at least one.
 * @param random Random numbers.
 */
[[nodiscard]] const load_target& select_target(std::span<const load_target> targets,
                                               random_source& random);

} // namespace savorywheel::load

#endif
