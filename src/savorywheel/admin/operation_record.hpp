#ifndef SAVORYWHEEL_ADMIN_OPERATION_RECORD_HPP
#define SAVORYWHEEL_ADMIN_OPERATION_RECORD_HPP

#include <savorywheel/admin/operation_status.hpp>
#include <savorywheel/config/commit.hpp>

#include <optional>
#include <string>

namespace savorywheel {

/** @brief What the platform's service remembers of an operation, so that any node can settle it. */
struct operation_record {
    /** @brief The operation. */
    operation_id operation;
    /** @brief Status; unknown while the commit is being written. */
    operation_status status{operation_status::unknown};
    /** @brief Version of the commit, or of the attempt that is being made. */
    config_version version;
    /** @brief Why it was refused. */
    std::string reason;
    /** @brief The commit, while its outcome is unknown. */
    std::optional<commit> change;
};

} // namespace savorywheel

#endif
