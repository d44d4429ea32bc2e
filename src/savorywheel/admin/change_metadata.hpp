#ifndef SAVORYWHEEL_ADMIN_CHANGE_METADATA_HPP
#define SAVORYWHEEL_ADMIN_CHANGE_METADATA_HPP

#include <savorywheel/core/config_version.hpp>
#include <savorywheel/core/names.hpp>

#include <optional>

namespace savorywheel {

/** @brief Who asks for a change, under which operation, and what they had seen. */
struct change_metadata {
    /** @brief The operator. */
    author_name author;
    /** @brief Names the attempt; the same operation is never executed twice. */
    operation_id operation;
    /** @brief Version that the operator had seen; nothing if unknown. */
    std::optional<config_version> base_version;
};

} // namespace savorywheel

#endif
