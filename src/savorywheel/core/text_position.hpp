#ifndef SAVORYWHEEL_CORE_TEXT_POSITION_HPP
#define SAVORYWHEEL_CORE_TEXT_POSITION_HPP

#include <cstddef>

namespace savorywheel {

/** @brief Position in a text; both numbers start at one, zero means the whole text. */
struct text_position {
    /** @brief Line. */
    std::size_t line{};
    /** @brief Column, in bytes. */
    std::size_t column{};
};

} // namespace savorywheel

#endif
