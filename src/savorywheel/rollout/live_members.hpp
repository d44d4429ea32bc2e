#ifndef SAVORYWHEEL_ROLLOUT_LIVE_MEMBERS_HPP
#define SAVORYWHEEL_ROLLOUT_LIVE_MEMBERS_HPP

#include <savorywheel/membership/member_table.hpp>

#include <vector>

namespace savorywheel {

/** @return Members whose status is alive or suspect. */
[[nodiscard]] std::vector<node_id> live_members(const member_table& members);

/**
 * @return Live members that reach the platform's service; all live members if none reaches it.
 */
[[nodiscard]] std::vector<node_id> members_reaching_store(const member_table& members);

} // namespace savorywheel

#endif
