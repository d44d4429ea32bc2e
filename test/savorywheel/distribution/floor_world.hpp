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

/** @brief Nodes with their floors on a network that loses, doubles and crosses messages. */
class floor_world {
public:
    /** @brief Nodes of the world, in failure domains of two. */
    static constexpr std::size_t node_count = 6;

    floor_world();
    floor_world(const floor_world&) = delete;
    floor_world& operator=(const floor_world&) = delete;
    floor_world(floor_world&&) = delete;
    floor_world& operator=(floor_world&&) = delete;
    ~floor_world();

    /** @brief The store gets one more commit, and one node learns of it. */
    void commit(std::size_t node);

    /** @brief A node learns what another one knows. */
    void spread(std::size_t from, std::size_t to);

    /** @brief Delivers, loses or doubles one message, out of order. */
    void deliver(std::size_t choice, bool lost, bool doubled);

    /** @brief Lets time pass; timers fire, nothing is delivered. */
    void pass(duration time);

    /** @brief Lets time pass while all messages to running nodes arrive. */
    void settle_down();

    /** @brief A node stops to receive, or goes on. */
    void pause(std::size_t node, bool paused);

    /** @brief A node loses its memory and starts again. */
    void restart(std::size_t node);

    /** @brief The store answers, or not. */
    void set_store(bool up) noexcept { store_up_ = up; }

    /** @return All returns to an older version, in words. */
    [[nodiscard]] const std::string& faults() const noexcept { return history_.faults(); }

    /** @return Version that a node uses. */
    [[nodiscard]] config_version used(std::size_t node) const;

    /** @return Latest version in the store. */
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
