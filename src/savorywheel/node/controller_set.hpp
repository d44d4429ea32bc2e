#ifndef SAVORYWHEEL_NODE_CONTROLLER_SET_HPP
#define SAVORYWHEEL_NODE_CONTROLLER_SET_HPP

#include <savorywheel/distribution/lease_manager.hpp>
#include <savorywheel/rollout/move_controller.hpp>

#include <map>
#include <memory>
#include <set>

namespace savorywheel {

/**
 * @brief Move controllers and leases of the services for which this node is a candidate.
 * @warning Not thread-safe; call all members on the control thread.
 */
class controller_set {
public:
    /** @brief Dependencies; all must outlive the set. */
    struct environment {
        lease_manager::environment leases;
        move_controller::environment controllers;
    };

    /**
     * @param self Record that this node writes into leases.
     * @param env Dependencies.
     */
    controller_set(lease_record self, environment env);

    /** @brief Sets the services for whose leases this node competes; stops the others. */
    void set_services(const std::set<service_name>& services);

    /**
     * @brief Runs the controller of a service for one period.
     * @param service State of the service; it must have a move.
     * @param input Input of the period; the lease-dependent fields are set here.
     * @return A withdrawal notice to broadcast, if the controller issues one.
     */
    [[nodiscard]] std::optional<withdrawal_notice> run(const service_state& service,
                                                       move_controller::period input);

private:
    struct controller_entry {
        config_version asked_at;
        calendar_time started_at{};
        std::unique_ptr<move_controller> controller;
    };

    /** Evidence written into the lease by its previous holder; decoded once per term. */
    struct cached_evidence {
        std::uint64_t term{};
        std::optional<move_evidence> evidence;
    };

    [[nodiscard]] const move_evidence* predecessor_evidence(const service_name& service,
                                                            const lease_manager& lease);
    [[nodiscard]] move_controller& controller_of(const service_state& service);
    [[nodiscard]] lease_manager& lease_of(const service_name& service);

    lease_record self_;
    environment environment_;
    std::set<service_name> services_;
    std::map<service_name, controller_entry> controllers_;
    std::map<service_name, cached_evidence> predecessor_evidence_;
    /** Never erased, because queued calls to the object store may refer to a lease. */
    std::map<service_name, std::unique_ptr<lease_manager>> leases_;
};

} // namespace savorywheel

#endif
