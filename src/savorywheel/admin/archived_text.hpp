#ifndef SAVORYWHEEL_ADMIN_ARCHIVED_TEXT_HPP
#define SAVORYWHEEL_ADMIN_ARCHIVED_TEXT_HPP

#include <savorywheel/core/config_version.hpp>
#include <savorywheel/core/names.hpp>

namespace savorywheel {

/** @brief Reference to an applied text in the archive. */
struct archived_text {
    /** @brief Operation that applied the text. */
    operation_id operation;
    /** @brief Version of the commit that applied the text. */
    config_version version;
};

} // namespace savorywheel

#endif
