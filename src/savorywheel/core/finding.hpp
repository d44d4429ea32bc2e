#ifndef SAVORYWHEEL_CORE_FINDING_HPP
#define SAVORYWHEEL_CORE_FINDING_HPP

#include <savorywheel/core/text_position.hpp>

#include <string>

namespace savorywheel {

/** @brief Diagnostic for one error in a text. */
struct finding {
    /** @brief Position of the error. */
    text_position place;
    /** @brief Description of the actual input. */
    std::string found;
    /** @brief Description of the valid input. */
    std::string expected;
};

} // namespace savorywheel

#endif
