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

/** @brief Nodes with their floors on a network that loses, doubles and crosses messages. */
class floor_simulation {
public:
    /** @brief Nodes of the world, in failure domains of two. */
    static constexpr std::size_t node_count = 6;

    floor_simulation();
    floor_simulation(const floor_simulation&) = delete;
    floor_simulation& operator=(const floor_simulation&) = delete;
    floor_simulation(floor_simulation&&) = delete;
    floor_simulation& operator=(floor_simulation&&) = delete;
    ~floor_simulation();

    /** @brief The store gets one more commit, and one node learns of it. */
    void commit(std::size_t node);

    /** @brief A node learns what another one knows. */
    void propagate(std::size_t from, std::size_t to);

    /** @brief Delivers, loses or doubles one message, out of order. */
    void deliver(std::size_t choice, bool lost, bool duplicated);

    /** @brief Lets time pass; timers fire, nothing is delivered. */
    void advance_time(duration time);

    /** @brief Lets time pass while all messages to running nodes arrive. */
    void run_until_quiet();

    /** @brief A node stops to receive, or goes on. */
    void pause(std::size_t node, bool paused);

    /** @brief A node loses its memory and starts again. */
    void restart(std::size_t node);

    /** @brief The store answers, or not. */
    void set_store_available(bool available) noexcept { store_available_ = available; }

    /** @return All returns to an older version, in words. */
    [[nodiscard]] const std::string& faults() const noexcept { return history_.faults(); }

    /** @return Version that a node uses. */
    [[nodiscard]] config_version usable_version(std::size_t node) const;

    /** @return Latest version in the store. */
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
