#include "floor_simulation.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace savorywheel::test {

namespace {

using std::chrono_literals::operator""ms;

constexpr std::size_t steps = 120;

std::size_t random_node()
{
    return *rc::gen::inRange<std::size_t>(0, floor_simulation::node_count);
}

void run_random_step(floor_simulation& simulation)
{
    switch (*rc::gen::inRange(0, 12)) {
    case 0:
        simulation.commit(random_node());
        break;
    case 1:
        simulation.propagate(random_node(), random_node());
        break;
    case 2:
        simulation.set_store_available(*rc::gen::arbitrary<bool>());
        break;
    case 3:
        simulation.pause(random_node(), *rc::gen::inRange(0, 3) == 0);
        break;
    case 4:
        simulation.advance_time(*rc::gen::inRange(1, 8) * 100ms);
        break;
    case 5:
        simulation.restart(random_node());
        for (std::size_t i = 0; i < steps; ++i) {
            simulation.propagate(random_node(), random_node());
            simulation.deliver(*rc::gen::arbitrary<std::size_t>(), *rc::gen::inRange(0, 5) == 0,
                               false);
            simulation.advance_time(50ms);
        }
        // At most one node at a time lacks its state; the store recovers before the next restart.
        for (std::size_t i = 0; i < floor_simulation::node_count; ++i) {
            simulation.pause(i, false);
        }
        simulation.set_store_available(true);
        simulation.run_until_quiet();
        break;
    default:
        simulation.deliver(*rc::gen::arbitrary<std::size_t>(), *rc::gen::inRange(0, 5) == 0,
                           *rc::gen::inRange(0, 5) == 0);
    }
}

} // namespace

RC_GTEST_PROP(proof_floor, usable_version_never_decreases, ())
{
    floor_simulation simulation;
    for (std::size_t i = 0; i < steps; ++i) {
        run_random_step(simulation);
        RC_ASSERT(simulation.faults().empty());
    }
}

RC_GTEST_PROP(proof_floor, every_node_reaches_the_head_after_recovery, ())
{
    floor_simulation simulation;
    for (std::size_t i = 0; i < steps; ++i) {
        run_random_step(simulation);
    }
    for (std::size_t i = 0; i < floor_simulation::node_count; ++i) {
        simulation.pause(i, false);
    }
    simulation.set_store_available(true);
    simulation.commit(0);
    for (std::size_t i = 0; i < floor_simulation::node_count; ++i) {
        simulation.propagate(0, i);
    }
    simulation.run_until_quiet();
    for (std::size_t i = 0; i < floor_simulation::node_count; ++i) {
        RC_ASSERT(simulation.usable_version(i) == simulation.head());
    }
}

} // namespace savorywheel::test
