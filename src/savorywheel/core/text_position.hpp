#ifndef SAVORYWHEEL_CORE_TEXT_POSITION_HPP
#define SAVORYWHEEL_CORE_TEXT_POSITION_HPP

#include <cstddef>

namespace savorywheel {

/** @brief Position in a text; both numbers are one-based, zero denotes the whole text. */
struct text_position {
    std::size_t line{};
    /** @brief Column in bytes. */
    std::size_t column{};
};

} // namespace savorywheel

#endif
