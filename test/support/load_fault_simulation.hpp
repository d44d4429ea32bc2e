#ifndef SAVORYWHEEL_TEST_SUPPORT_LOAD_FAULT_SIMULATION_HPP
#define SAVORYWHEEL_TEST_SUPPORT_LOAD_FAULT_SIMULATION_HPP

#include <savorywheel/core/seeded_random.hpp>
#include <savorywheel/rollout/evidence_recorder.hpp>
#include <savorywheel/rollout/rollout_policy.hpp>
#include <savorywheel/routing/locality_endpoint_selector.hpp>
#include <savorywheel/routing/routing_table_builder.hpp>

#include <support/load_fault_result.hpp>
#include <support/load_fault_scenario.hpp>
#include <support/manual_clock.hpp>

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <vector>

namespace savorywheel::test {

/** @brief Seconds from the order of the simulated move to its deadline. */
inline constexpr int load_fault_move_seconds = 16;

/**
 * @brief Simulates each call of a short move of a service with six old and six new backend servers,
 * one of each in each of six failure domains, with the routing and the evidence of the product.
 */
class load_fault_simulation {
public:
    /**
     * @param policy Policy under test; must outlive the simulation.
     * @param scenario Fault and traffic.
     * @param seed Seed of the random numbers.
     */
    load_fault_simulation(rollout_policy& policy, const load_fault_scenario& scenario,
                          std::uint64_t seed);

    load_fault_simulation(const load_fault_simulation&) = delete;
    load_fault_simulation& operator=(const load_fault_simulation&) = delete;
    load_fault_simulation(load_fault_simulation&&) = delete;
    load_fault_simulation& operator=(load_fault_simulation&&) = delete;
    ~load_fault_simulation();

    /** @brief Runs from the order to the deadline. */
    [[nodiscard]] load_fault_result run();

private:
    struct caller_node;
    struct running_call;

    void add_member(int domain, const char* version);
    void commit_service();
    void publish();
    void start_call();
    void end_calls();
    void control();
    [[nodiscard]] double seconds() const;
    [[nodiscard]] bool due_each_period(double phase) const;

    rollout_policy& policy_;
    load_fault_scenario scenario_;
    std::mt19937_64 engine_;
    manual_clock time_;
    seeded_random random_;
    member_table members_;
    mesh_state state_;
    service_state service_;
    routing_table_builder builder_;
    std::shared_ptr<const routing_table> table_;
    std::vector<std::unique_ptr<caller_node>> nodes_;
    std::vector<running_call> running_;
    std::map<node_id, std::uint32_t> load_;
    std::set<node_id> new_servers_called_;
    evidence_table reported_;
    double control_phase_{};
    std::optional<double> publish_at_;
    std::size_t new_servers_{};
    load_fault_result result_;
};

} // namespace savorywheel::test

#endif
