#ifndef SAVORYWHEEL_ROLLOUT_LIVE_MEMBERS_HPP
#define SAVORYWHEEL_ROLLOUT_LIVE_MEMBERS_HPP

#include <savorywheel/membership/member_table.hpp>

#include <vector>

namespace savorywheel {

/** @return Members that are not known to be dead. */
[[nodiscard]] std::vector<node_id> live_members(const member_table& members);

/**
 * @return Nodes that are not dead and that the platform's service answers; all that are not dead
 * if it answers none.
 */
[[nodiscard]] std::vector<node_id> members_reaching_store(const member_table& members);

} // namespace savorywheel

#endif
