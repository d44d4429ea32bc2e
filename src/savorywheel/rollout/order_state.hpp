#ifndef SAVORYWHEEL_ROLLOUT_ORDER_STATE_HPP
#define SAVORYWHEEL_ROLLOUT_ORDER_STATE_HPP

#include <savorywheel/config/mesh_state.hpp>
#include <savorywheel/core/clock.hpp>
#include <savorywheel/distribution/directed_documents.hpp>
#include <savorywheel/membership/member_table.hpp>

#include <map>

namespace savorywheel {

/**
 * @brief Joins the operators' configuration and rollout orders into the state that is routed by.
 *
 * A service without an order is served by every version that runs. From an order on, the versions
 * that ran before carry the traffic until the move's record gives the new one a share.
 */
class order_state {
public:
    /**
     * @brief Joins.
     * @param documents Configuration and orders.
     * @param members Members; tell which versions run.
     * @param now Calendar time; an order counts from when it is first seen.
     */
    [[nodiscard]] mesh_state join(const directed_documents& documents, const member_table& members,
                                  calendar_time now);

    /** @return True if the state depends on which versions run. */
    [[nodiscard]] bool depends_on_members() const noexcept { return unrecorded_; }

private:
    struct sight {
        std::uint64_t revision{};
        calendar_time at{};
    };

    [[nodiscard]] rollout_move begin(const rollout_order& order, const member_table& members,
                                     calendar_time now);

    std::map<service_name, sight> first_seen_;
    bool unrecorded_{};
};

} // namespace savorywheel

#endif
