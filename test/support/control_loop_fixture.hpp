#ifndef SAVORYWHEEL_TEST_SUPPORT_CONTROL_LOOP_FIXTURE_HPP
#define SAVORYWHEEL_TEST_SUPPORT_CONTROL_LOOP_FIXTURE_HPP

#include <savorywheel/core/control_loop.hpp>
#include <savorywheel/core/seeded_random.hpp>
#include <savorywheel/store/store_worker.hpp>

#include <support/manual_clock.hpp>

#include <chrono>

namespace savorywheel::test {

/** @brief Control loop and store worker whose time advances only by advance_time(). */
class control_loop_fixture {
public:
    /** @param store Store of the worker; must outlive this object. */
    explicit control_loop_fixture(object_store& store) : worker_{store} {}

    [[nodiscard]] control_loop& loop() noexcept { return loop_; }

    [[nodiscard]] store_worker& worker() noexcept { return worker_; }

    /** @return Random source with a fixed seed. */
    [[nodiscard]] random_source& random() noexcept { return random_; }

    /** @brief Advances the time in small steps; runs due timers and completes all store calls. */
    void advance_time(std::chrono::milliseconds amount);

    /** @brief Waits until all queued store calls have completed. */
    void finish_store_calls();

private:
    manual_clock time_;
    control_loop loop_{time_};
    seeded_random random_{1};
    store_worker worker_;
};

} // namespace savorywheel::test

#endif
