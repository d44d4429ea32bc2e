#ifndef SAVORYWHEEL_ADMIN_CHANGE_METADATA_HPP
#define SAVORYWHEEL_ADMIN_CHANGE_METADATA_HPP

#include <savorywheel/core/config_version.hpp>
#include <savorywheel/core/names.hpp>

#include <optional>

namespace savorywheel {

/** @brief Author, operation id and base version of a requested change. */
struct change_metadata {
    author_name author;
    /** @brief Idempotency key: one operation is executed at most once. */
    operation_id operation;
    /** @brief Version on which the operator based the change, if known. */
    std::optional<config_version> base_version;
};

} // namespace savorywheel

#endif
