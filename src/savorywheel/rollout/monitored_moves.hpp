#ifndef SAVORYWHEEL_ROLLOUT_MONITORED_MOVES_HPP
#define SAVORYWHEEL_ROLLOUT_MONITORED_MOVES_HPP

#include <savorywheel/config/mesh_state.hpp>
#include <savorywheel/membership/member_table.hpp>
#include <savorywheel/rollout/route_evidence.hpp>

#include <memory>
#include <vector>

namespace savorywheel {

/** @brief How long a move is watched after it was done. */
inline constexpr std::chrono::minutes monitoring_after_done{5};

/** @return Services with a move in progress, or one that was done a short time ago. */
[[nodiscard]] std::vector<std::shared_ptr<const service_state>>
find_monitored_moves(const mesh_state& state, calendar_time now);

/** @return True if the evidence is of a version and a route that the service's move concerns. */
[[nodiscard]] bool concerns_move(const service_state& service, const route_evidence& item);

/** @return Serving backend servers of the versions that gain a share in the service's move. */
[[nodiscard]] std::size_t count_new_servers(const member_table& members,
                                            const service_state& service);

} // namespace savorywheel

#endif
