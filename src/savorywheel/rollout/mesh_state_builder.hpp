#ifndef SAVORYWHEEL_ROLLOUT_MESH_STATE_BUILDER_HPP
#define SAVORYWHEEL_ROLLOUT_MESH_STATE_BUILDER_HPP

#include <savorywheel/config/mesh_state.hpp>
#include <savorywheel/core/clock.hpp>
#include <savorywheel/distribution/operator_documents.hpp>
#include <savorywheel/membership/member_table.hpp>

#include <map>

namespace savorywheel {

/**
 * @brief Joins the operators' configuration and rollout orders into the state that is routed by.
 *
 * A service without an order is served by every version that runs. From an order on, the versions
 * that ran before carry the traffic until the move's record gives the new one a share.
 */
class mesh_state_builder {
public:
    /**
     * @brief Joins.
     * @param documents Configuration and orders.
     * @param members Members; tell which versions run.
     * @param now Calendar time; an order counts from when it is first seen.
     */
    [[nodiscard]] mesh_state build(const operator_documents& documents, const member_table& members,
                                   calendar_time now);

    /** @return True if the state depends on which versions run. */
    [[nodiscard]] bool depends_on_members() const noexcept { return has_unrecorded_orders_; }

private:
    struct first_observation {
        std::uint64_t revision{};
        calendar_time at{};
    };

    [[nodiscard]] rollout_move start_move(const rollout_order& order, const member_table& members,
                                          calendar_time now);

    std::map<service_name, first_observation> first_seen_;
    bool has_unrecorded_orders_{};
};

} // namespace savorywheel

#endif
