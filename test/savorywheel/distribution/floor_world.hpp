#ifndef SAVORYWHEEL_TEST_DISTRIBUTION_FLOOR_WORLD_HPP
#define SAVORYWHEEL_TEST_DISTRIBUTION_FLOOR_WORLD_HPP

#include <savorywheel/core/seeded_random.hpp>
#include <savorywheel/distribution/floor_keeper.hpp>
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
class floor_world {
public:
    /** @brief Number of nodes, two per failure domain. */
    static constexpr std::size_t node_count = 6;

    floor_world();
    floor_world(const floor_world&) = delete;
    floor_world& operator=(const floor_world&) = delete;
    floor_world(floor_world&&) = delete;
    floor_world& operator=(floor_world&&) = delete;
    ~floor_world();

    /** @brief Appends a commit to the stored log and applies it at one node. */
    void commit(std::size_t node);

    /** @brief Raises the log version of one node to that of another. */
    void spread(std::size_t from, std::size_t to);

    /** @brief Delivers, drops or duplicates one message in flight; choice selects it. */
    void deliver(std::size_t choice, bool lost, bool doubled);

    /** @brief Advances the clock and fires timers; delivers no messages. */
    void pass(duration time);

    /** @brief Advances the clock while delivering all messages to nodes that are not paused. */
    void settle_down();

    /** @brief Stops or resumes delivery to a node. */
    void pause(std::size_t node, bool paused);

    /** @brief Restarts a node with empty state and a new incarnation. */
    void restart(std::size_t node);

    /** @brief Sets whether the object store responds. */
    void set_store(bool up) noexcept { store_up_ = up; }

    /** @return Description of every rollback to an older version; empty if there were none. */
    [[nodiscard]] const std::string& faults() const noexcept { return history_.faults(); }

    /** @return Version in use at a node. */
    [[nodiscard]] config_version used(std::size_t node) const;

    /** @return Latest version of the stored log. */
    [[nodiscard]] config_version head() const noexcept { return head_; }

private:
    struct member;
    struct message {
        std::size_t receiver{};
        std::function<void()> arrive;
    };

    void send(std::size_t receiver, std::function<void(member&)> arrive);

    manual_clock clock_;
    timer_service timers_{clock_};
    seeded_random random_{20261204};
    bool store_up_{true};
    config_version head_;
    std::deque<message> network_;
    version_history history_;
    std::vector<std::unique_ptr<member>> nodes_;
};

} // namespace savorywheel::test

#endif
