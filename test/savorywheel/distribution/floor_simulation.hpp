#ifndef SAVORYWHEEL_TEST_DISTRIBUTION_FLOOR_SIMULATION_HPP
#define SAVORYWHEEL_TEST_DISTRIBUTION_FLOOR_SIMULATION_HPP

#include <savorywheel/core/seeded_random.hpp>
#include <savorywheel/distribution/floor_coordinator.hpp>
#include <savorywheel/distribution/floor_table.hpp>

#include <support/manual_clock.hpp>
#include <support/version_history.hpp>

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace savorywheel::test {

/** @brief Simulated nodes with version floors on a network that drops, duplicates and reorders. */
class floor_simulation {
public:
    /** @brief Number of nodes, two per failure domain. */
    static constexpr std::size_t node_count = 6;

    floor_simulation();
    floor_simulation(const floor_simulation&) = delete;
    floor_simulation& operator=(const floor_simulation&) = delete;
    floor_simulation(floor_simulation&&) = delete;
    floor_simulation& operator=(floor_simulation&&) = delete;
    ~floor_simulation();

    /** @brief Appends a commit to the stored log and applies it at one node. */
    void commit(std::size_t node);

    /** @brief Raises the log version of one node to that of another. */
    void propagate(std::size_t from, std::size_t to);

    /** @brief Delivers, drops or duplicates one message in flight; choice selects it. */
    void deliver(std::size_t choice, bool lost, bool duplicated);

    /** @brief Advances the clock and fires timers; delivers no messages. */
    void advance_time(duration time);

    /** @brief Advances the clock while delivering all messages to nodes that are not paused. */
    void run_until_quiet();

    /** @brief Stops or resumes delivery to a node. */
    void pause(std::size_t node, bool paused);

    /** @brief Restarts a node with empty state and a new incarnation. */
    void restart(std::size_t node);

    /** @brief Sets whether the object store responds. */
    void set_store_available(bool available) noexcept { store_available_ = available; }

    /** @return Description of every rollback to an older version; empty if there were none. */
    [[nodiscard]] const std::string& faults() const noexcept { return history_.faults(); }

    /** @return Version in use at a node. */
    [[nodiscard]] config_version usable_version(std::size_t node) const;

    /** @return Latest version of the stored log. */
    [[nodiscard]] config_version head() const noexcept { return head_; }

private:
    struct simulated_node;
    struct message {
        std::size_t receiver{};
        std::function<void()> on_delivery;
    };

    void send(std::size_t receiver, std::function<void(simulated_node&)> on_delivery);

    manual_clock clock_;
    timer_service timers_{clock_};
    seeded_random random_{20261204};
    bool store_available_{true};
    config_version head_;
    std::deque<message> in_flight_;
    version_history history_;
    std::vector<std::unique_ptr<simulated_node>> nodes_;
};

} // namespace savorywheel::test

#endif
