#ifndef SAVORYWHEEL_ADMIN_HISTORY_ENTRY_HPP
#define SAVORYWHEEL_ADMIN_HISTORY_ENTRY_HPP

#include <savorywheel/core/config_version.hpp>
#include <savorywheel/core/names.hpp>

#include <string>
#include <vector>

namespace savorywheel {

/** @brief One accepted change, as operators read it. */
struct history_entry {
    /** @brief Version. */
    config_version version;
    /** @brief Version that its writer had seen. */
    config_version base;
    /** @brief What it did, in words. */
    std::string kind;
    /** @brief Who wrote it. */
    author_name author;
    /** @brief When, in RFC 3339. */
    std::string written_at;
    /** @brief Names the attempt. */
    operation_id operation;
    /** @brief Why. */
    std::string reason;
    /** @brief Services that it changed. */
    std::vector<service_name> changed;
    /** @brief Services that it removed. */
    std::vector<service_name> removed;
};

} // namespace savorywheel

#endif
