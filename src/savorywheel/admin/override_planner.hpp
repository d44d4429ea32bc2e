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
 * @param state State that the commit follows.
 * @param service Service.
 * @param weights Shares; they add up to weight_sum_permille.
 * @param author Who sets it.
 * @param reason Why; not empty.
 * @param now When.
 * @param base_version Version that the operator had seen.
 * @return The commit; not_found if there is no such service; invalid_argument if the shares or the
 * reason are not allowed; conflict if the operator has not seen the override in force.
 */
[[nodiscard]] outcome<commit> plan_override_set(const mesh_state& state,
                                                const service_name& service,
                                                std::span<const version_weight> weights,
                                                const author_name& author, std::string_view reason,
                                                calendar_time now, config_version base_version);

/**
 * @brief Plans the commit that releases an override.
 *
 * A move in progress starts again from its old shares: what was seen of it is out of date.
 * @param state State that the commit follows.
 * @param service Service.
 * @param author Who releases it.
 * @param reason Why; not empty.
 * @param now When.
 * @param base_version Version that the operator had seen.
 * @return The commit; not_found if there is no such service or no override; invalid_argument if
 * there is no reason; conflict if the operator has not seen the override in force.
 */
[[nodiscard]] outcome<commit> plan_override_release(const mesh_state& state,
                                                    const service_name& service,
                                                    const author_name& author,
                                                    std::string_view reason, calendar_time now,
                                                    config_version base_version);

/** @return An override in words: its service, author, time, version and reason. */
[[nodiscard]] std::string describe_override(const service_name& service,
                                            const manual_override& item);

} // namespace savorywheel

#endif
