#ifndef SAVORYWHEEL_ADMIN_OPERATION_RECORD_HPP
#define SAVORYWHEEL_ADMIN_OPERATION_RECORD_HPP

#include <savorywheel/admin/operation_status.hpp>
#include <savorywheel/config/commit.hpp>

#include <optional>
#include <string>

namespace savorywheel {

/** @brief State of an operation in the platform's store, from which any node can settle it. */
struct operation_record {
    operation_id operation;
    /** @brief Outcome; unknown while the commit is being written. */
    operation_status status{operation_status::unknown};
    /** @brief Version of the commit or of the current attempt. */
    config_version version;
    /** @brief Why the change was refused, or a remark on its acceptance. */
    std::string reason;
    /** @brief Commit of the current attempt; std::nullopt once the outcome is known. */
    std::optional<commit> change;
};

} // namespace savorywheel

#endif
