#ifndef SAVORYWHEEL_TEST_SUPPORT_FAULT_SCHEDULE_HPP
#define SAVORYWHEEL_TEST_SUPPORT_FAULT_SCHEDULE_HPP

#include <savorywheel/core/seeded_random.hpp>

#include <support/local_mesh.hpp>

#include <cstddef>
#include <set>

namespace savorywheel::test {

/**
 * @brief Brings about faults of a local mesh, several at one time, in an order given by a seed.
 *
 * Nodes are killed, paused and started again; backend servers are killed and started again; the
 * platform stand-in is down, slow, or loses answers.
 */
class fault_schedule {
public:
    /**
     * @param mesh The mesh; must outlive the schedule.
     * @param seed Start of the sequence.
     */
    fault_schedule(local_mesh& mesh, std::uint64_t seed) : mesh_{mesh}, random_{seed} {}

    /** @brief Begins or ends one fault. */
    void step();

    /** @brief Ends all faults. */
    void end_all_faults();

    /** @return True if the node neither is killed nor pauses. */
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
