#ifndef SAVORYWHEEL_ADMIN_ARCHIVED_TEXT_HPP
#define SAVORYWHEEL_ADMIN_ARCHIVED_TEXT_HPP

#include <savorywheel/core/config_version.hpp>
#include <savorywheel/core/names.hpp>

namespace savorywheel {

/** @brief Refers to an applied text in the archive. */
struct archived_text {
    /** @brief Operation that applied it. */
    operation_id operation;
    /** @brief Version of its commit. */
    config_version version;
};

} // namespace savorywheel

#endif
