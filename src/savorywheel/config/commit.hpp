#ifndef SAVORYWHEEL_CONFIG_COMMIT_HPP
#define SAVORYWHEEL_CONFIG_COMMIT_HPP

#include <savorywheel/config/commit_kind.hpp>
#include <savorywheel/config/domain_spec.hpp>
#include <savorywheel/config/service_state.hpp>
#include <savorywheel/core/clock.hpp>
#include <savorywheel/core/config_version.hpp>
#include <savorywheel/core/names.hpp>

#include <optional>
#include <string>
#include <vector>

namespace savorywheel {

/**
 * @brief One accepted change, at its place in the ordered log.
 *
 * A commit replaces whole services; it never edits one in place.
 */
struct commit {
    /** @brief Place in the log. */
    config_version version;
    /** @brief Version that the writer had seen. */
    config_version base;
    /** @brief Names the attempt, so that a lost answer can be settled. */
    operation_id operation;
    /** @brief Who wrote it. */
    author_name author;
    /** @brief When it was written. */
    calendar_time written_at{};
    /** @brief What it does. */
    commit_kind kind{commit_kind::text_applied};
    /** @brief Why, in words. */
    std::string reason;
    /** @brief New states of the services that it touches. */
    std::vector<service_state> upserts;
    /** @brief Services that it removes. */
    std::vector<service_name> removals;
    /** @brief Failure domains, if it changes them. */
    std::optional<std::vector<domain_spec>> domains;

    /** @brief Compares all members. */
    [[nodiscard]] friend bool operator==(const commit&, const commit&) = default;
};

} // namespace savorywheel

#endif
