#ifndef SAVORYWHEEL_TEST_SUPPORT_FAULT_SCHEDULE_HPP
#define SAVORYWHEEL_TEST_SUPPORT_FAULT_SCHEDULE_HPP

#include <savorywheel/core/seeded_random.hpp>

#include <support/local_mesh.hpp>

#include <cstddef>
#include <set>

namespace savorywheel::test {

/**
 * @brief Injects overlapping faults into a local mesh, in a random order that the seed determines.
 *
 * Kills, pauses and restarts nodes; kills and restarts backend servers; makes the platform stand-in
 * unavailable, slow, or lose responses.
 */
class fault_schedule {
public:
    /**
     * @param mesh The mesh; must outlive the schedule.
     * @param seed Seed of the random order.
     */
    fault_schedule(local_mesh& mesh, std::uint64_t seed) : mesh_{mesh}, random_{seed} {}

    /** @brief Starts or ends one random fault. */
    void step();

    /** @brief Ends all faults and restarts all killed processes. */
    void end_all_faults();

    /** @return True if the node is neither killed nor paused. */
    [[nodiscard]] bool is_running(std::size_t index) const
    {
        return !killed_nodes_.contains(index) && !paused_nodes_.contains(index);
    }

private:
    void kill_or_start_node();
    void pause_or_continue_node();
    void kill_or_start_backend();
    void change_platform_fault();

    local_mesh& mesh_;
    seeded_random random_;
    std::set<std::size_t> killed_nodes_;
    std::set<std::size_t> paused_nodes_;
    std::set<std::size_t> killed_backends_;
};

} // namespace savorywheel::test

#endif
