#ifndef SAVORYWHEEL_CONFIG_ROLLOUT_RECORD_RULES_HPP
#define SAVORYWHEEL_CONFIG_ROLLOUT_RECORD_RULES_HPP

#include <savorywheel/config/rollout_record.hpp>
#include <savorywheel/core/outcome.hpp>

namespace savorywheel {

/**
 * @return True if versions and weights of the record are valid; otherwise `malformed`. While no
 * backend server of an old version is known, the weights of a step add up to less than
 * weight_sum_permille.
 */
[[nodiscard]] outcome<bool> check_record(const rollout_record& record);

} // namespace savorywheel

#endif
