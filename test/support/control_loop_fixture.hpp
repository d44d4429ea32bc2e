#ifndef SAVORYWHEEL_TEST_SUPPORT_CONTROL_LOOP_FIXTURE_HPP
#define SAVORYWHEEL_TEST_SUPPORT_CONTROL_LOOP_FIXTURE_HPP

#include <savorywheel/core/control_loop.hpp>
#include <savorywheel/core/seeded_random.hpp>
#include <savorywheel/store/store_worker.hpp>

#include <support/manual_clock.hpp>

#include <chrono>

namespace savorywheel::test {

/** @brief A control loop and a thread for a store, in which time passes only by pass(). */
class control_loop_fixture {
public:
    /** @param store The store; must outlive the world. */
    explicit control_loop_fixture(object_store& store) : worker_{store} {}

    /** @return The control loop. */
    [[nodiscard]] control_loop& loop() noexcept { return loop_; }

    /** @return The thread for the store. */
    [[nodiscard]] store_worker& worker() noexcept { return worker_; }

    /** @return Random numbers. */
    [[nodiscard]] random_source& random() noexcept { return random_; }

    /** @brief Lets time pass; what is due runs, and all calls to the store end. */
    void advance_time(std::chrono::milliseconds amount);

    /** @brief Waits for the calls to the store that were queued so far. */
    void finish_store_calls();

private:
    manual_clock time_;
    control_loop loop_{time_};
    seeded_random random_{1};
    store_worker worker_;
};

} // namespace savorywheel::test

#endif
