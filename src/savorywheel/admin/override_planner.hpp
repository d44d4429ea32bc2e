#ifndef SAVORYWHEEL_ADMIN_OVERRIDE_PLANNER_HPP
#define SAVORYWHEEL_ADMIN_OVERRIDE_PLANNER_HPP

#include <savorywheel/config/commit.hpp>
#include <savorywheel/config/mesh_state.hpp>
#include <savorywheel/core/outcome.hpp>

#include <span>
#include <string>
#include <string_view>

namespace savorywheel {

/**
 * @brief Plans the commit that sets an override.
 * @param state State that precedes the commit.
 * @param service Service to override.
 * @param weights Weights; their sum must be weight_sum_permille.
 * @param author Operator who sets the override.
 * @param reason Reason; must not be empty.
 * @param now Time of the change.
 * @param base_version Version on which the operator based the change.
 * @return The commit; not_found if there is no such service; invalid_argument if the weights or the
 * reason are invalid; conflict if an override in force is newer than the base version.
 */
[[nodiscard]] outcome<commit> plan_override_set(const mesh_state& state,
                                                const service_name& service,
                                                std::span<const version_weight> weights,
                                                const author_name& author, std::string_view reason,
                                                calendar_time now, config_version base_version);

/**
 * @brief Plans the commit that releases an override.
 *
 * A move in progress restarts from its initial weights, because the measurements of its earlier
 * steps are out of date.
 * @param state State that precedes the commit.
 * @param service Service with the override.
 * @param author Operator who releases the override.
 * @param reason Reason; must not be empty.
 * @param now Time of the change.
 * @param base_version Version on which the operator based the change.
 * @return The commit; not_found if there is no such service or no override; invalid_argument if
 * the reason is empty; conflict if the override is newer than the base version.
 */
[[nodiscard]] outcome<commit> plan_override_release(const mesh_state& state,
                                                    const service_name& service,
                                                    const author_name& author,
                                                    std::string_view reason, calendar_time now,
                                                    config_version base_version);

/** @return Description of an override: its service, author, time, version and reason. */
[[nodiscard]] std::string describe_override(const service_name& service,
                                            const manual_override& item);

} // namespace savorywheel

#endif
