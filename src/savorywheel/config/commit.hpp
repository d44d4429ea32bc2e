#ifndef SAVORYWHEEL_CONFIG_COMMIT_HPP
#define SAVORYWHEEL_CONFIG_COMMIT_HPP

#include <savorywheel/config/commit_kind.hpp>
#include <savorywheel/config/domain_spec.hpp>
#include <savorywheel/config/service_state.hpp>
#include <savorywheel/config/tenant_spec.hpp>
#include <savorywheel/core/clock.hpp>
#include <savorywheel/core/config_version.hpp>
#include <savorywheel/core/names.hpp>

#include <optional>
#include <string>
#include <vector>

namespace savorywheel {

/**
 * @brief One accepted change: an entry of the ordered log.
 *
 * A commit replaces whole services and never parts of one.
 */
struct commit {
    /** @brief Position in the log. */
    config_version version;
    /** @brief Version on which the author based the change. */
    config_version base;
    /** @brief Operation that wrote the commit; identifies it after a lost response. */
    operation_id operation;
    author_name author;
    calendar_time written_at{};
    commit_kind kind{commit_kind::text_applied};
    /** @brief Reason, as free text. */
    std::string reason;
    /** @brief New states of the added and changed services. */
    std::vector<service_state> upserts;
    /** @brief Services to remove. */
    std::vector<service_name> removals;
    /** @brief New list of failure domains; std::nullopt if unchanged. */
    std::optional<std::vector<domain_spec>> domains;
    /** @brief New list of tenants; std::nullopt if unchanged. */
    std::optional<std::vector<tenant_spec>> tenants;

    [[nodiscard]] friend bool operator==(const commit&, const commit&) = default;
};

} // namespace savorywheel

#endif
