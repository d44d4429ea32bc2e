#ifndef SAVORYWHEEL_ROLLOUT_MONITORED_MOVES_HPP
#define SAVORYWHEEL_ROLLOUT_MONITORED_MOVES_HPP

#include <savorywheel/config/mesh_state.hpp>
#include <savorywheel/membership/member_table.hpp>
#include <savorywheel/rollout/route_evidence.hpp>

#include <memory>
#include <vector>

namespace savorywheel {

/** @brief Time for which a move is monitored after it is done. */
inline constexpr std::chrono::minutes monitoring_after_done{5};

/** @return Services with a move that is in progress or was done within monitoring_after_done. */
[[nodiscard]] std::vector<std::shared_ptr<const service_state>>
find_monitored_moves(const mesh_state& state, calendar_time now);

/** @return True if the move changes the share of the evidence's version and the service has the
 * route. */
[[nodiscard]] bool concerns_move(const service_state& service, const route_evidence& item);

/** @return Serving backend servers of the versions that gain a share in the service's move. */
[[nodiscard]] std::size_t count_new_servers(const member_table& members,
                                            const service_state& service);

} // namespace savorywheel

#endif
