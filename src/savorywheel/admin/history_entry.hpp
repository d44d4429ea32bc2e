#ifndef SAVORYWHEEL_ADMIN_HISTORY_ENTRY_HPP
#define SAVORYWHEEL_ADMIN_HISTORY_ENTRY_HPP

#include <savorywheel/core/config_version.hpp>
#include <savorywheel/core/names.hpp>

#include <string>
#include <vector>

namespace savorywheel {

/** @brief One accepted change in the history shown to operators. */
struct history_entry {
    config_version version;
    /** @brief Version on which the author based the change. */
    config_version base;
    /** @brief Kind of change, as to_string(commit_kind) returns it. */
    std::string kind;
    author_name author;
    /** @brief Time in RFC 3339. */
    std::string written_at;
    operation_id operation;
    std::string reason;
    /** @brief Added and changed services. */
    std::vector<service_name> changed;
    /** @brief Removed services. */
    std::vector<service_name> removed;
};

} // namespace savorywheel

#endif
