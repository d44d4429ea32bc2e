#ifndef SAVORYWHEEL_ROLLOUT_MESH_STATE_BUILDER_HPP
#define SAVORYWHEEL_ROLLOUT_MESH_STATE_BUILDER_HPP

#include <savorywheel/config/mesh_state.hpp>
#include <savorywheel/core/clock.hpp>
#include <savorywheel/distribution/operator_documents.hpp>
#include <savorywheel/membership/member_table.hpp>

#include <map>
#include <vector>

namespace savorywheel {

/**
 * @brief Builds the state used for routing from the operators' configuration and rollout orders.
 *
 * Without an order, every running version of a service serves it. After the first order, the
 * versions that were already running carry the traffic until the move's record assigns a share to
 * the new one. A later order starts from what carried the traffic before: a version whose move has
 * not ended, or was withdrawn, gets none.
 */
class mesh_state_builder {
public:
    /**
     * @brief Builds the state. Its version is the sum of the documents' revisions, and at least
     * that of the last state, so that proxies do not refuse its table.
     * @param documents Configuration and orders.
     * @param members Members, which determine the running versions.
     * @param now Calendar time; the first call with an order sets the start of its move.
     */
    [[nodiscard]] mesh_state build(const operator_documents& documents, const member_table& members,
                                   calendar_time now);

    /** @return True if the last state built depends on the running versions. */
    [[nodiscard]] bool depends_on_members() const noexcept { return has_unrecorded_orders_; }

private:
    struct first_observation {
        std::uint64_t revision{};
        calendar_time at{};
        /** Weights that the order replaces; empty if there was none before. */
        std::vector<version_weight> before;
    };

    [[nodiscard]] rollout_move start_move(const rollout_order& order, const member_table& members,
                                          calendar_time now);

    std::map<service_name, first_observation> first_seen_;
    /** Weights to go back to if the last order of a service is replaced. */
    std::map<service_name, std::vector<version_weight>> carrying_;
    config_version last_version_;
    bool has_unrecorded_orders_{};
};

} // namespace savorywheel

#endif
