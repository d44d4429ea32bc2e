#ifndef SAVORYWHEEL_NODE_CONTROLLER_SET_HPP
#define SAVORYWHEEL_NODE_CONTROLLER_SET_HPP

#include <savorywheel/distribution/lease_manager.hpp>
#include <savorywheel/rollout/move_controller.hpp>

#include <map>
#include <memory>
#include <set>

namespace savorywheel {

/**
 * @brief Controllers and leases of the services whose moves this node may control.
 * @warning All members are for the control thread.
 */
class controller_set {
public:
    /** @brief What the controllers work with; all must outlive the set. */
    struct environment {
        /** @brief Leases. */
        lease_manager::environment leases;
        /** @brief Commits and log. */
        move_controller::environment controllers;
    };

    /**
     * @param self Record that this node writes into leases.
     * @param env What the controllers work with.
     */
    controller_set(lease_record self, environment env);

    /** @brief Competes for the leases of these services and for no others. */
    void set_services(const std::set<service_name>& services);

    /**
     * @brief Lets the controller of a service decide.
     * @param service State of the service, with a move.
     * @param input What the period brought; leader is set here.
     * @return A notice to spread.
     */
    [[nodiscard]] std::optional<withdrawal_notice> run(const service_state& service,
                                                       move_controller::period input);

private:
    struct controller_entry {
        config_version asked_at;
        calendar_time started_at{};
        std::unique_ptr<move_controller> controller;
    };

    /** What the last holder of a lease has left, decoded once. */
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
    /** Leases are kept until the end, as work for the platform's service may refer to them. */
    std::map<service_name, std::unique_ptr<lease_manager>> leases_;
};

} // namespace savorywheel

#endif
