#ifndef SAVORYWHEEL_CORE_FINDING_HPP
#define SAVORYWHEEL_CORE_FINDING_HPP

#include <savorywheel/core/text_position.hpp>

#include <string>

namespace savorywheel {

/** @brief One fault of a text: where it stands, what was found and what was expected. */
struct finding {
    /** @brief Where the fault stands. */
    text_position place;
    /** @brief What was found. */
    std::string found;
    /** @brief What was expected. */
    std::string expected;
};

} // namespace savorywheel

#endif
