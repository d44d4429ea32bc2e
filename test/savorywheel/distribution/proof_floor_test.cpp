#include "floor_world.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace savorywheel::test {

namespace {

using std::chrono_literals::operator""ms;

constexpr std::size_t steps = 120;

std::size_t any_node()
{
    return *rc::gen::inRange<std::size_t>(0, floor_world::node_count);
}

void take_step(floor_world& world)
{
    switch (*rc::gen::inRange(0, 12)) {
    case 0:
        world.commit(any_node());
        break;
    case 1:
        world.spread(any_node(), any_node());
        break;
    case 2:
        world.set_store(*rc::gen::arbitrary<bool>());
        break;
    case 3:
        world.pause(any_node(), *rc::gen::inRange(0, 3) == 0);
        break;
    case 4:
        world.pass(*rc::gen::inRange(1, 8) * 100ms);
        break;
    case 5:
        world.restart(any_node());
        for (std::size_t i = 0; i < steps; ++i) {
            world.spread(any_node(), any_node());
            world.deliver(*rc::gen::arbitrary<std::size_t>(), *rc::gen::inRange(0, 5) == 0, false);
            world.pass(50ms);
        }
        // At most one node at a time lacks its state; the store recovers before the next restart.
        for (std::size_t i = 0; i < floor_world::node_count; ++i) {
            world.pause(i, false);
        }
        world.set_store(true);
        world.settle_down();
        break;
    default:
        world.deliver(*rc::gen::arbitrary<std::size_t>(), *rc::gen::inRange(0, 5) == 0,
                      *rc::gen::inRange(0, 5) == 0);
    }
}

} // namespace

RC_GTEST_PROP(proof_floor, no_interleaving_takes_a_node_back, ())
{
    floor_world world;
    for (std::size_t i = 0; i < steps; ++i) {
        take_step(world);
        RC_ASSERT(world.faults().empty());
    }
}

RC_GTEST_PROP(proof_floor, every_node_reaches_the_head_after_a_heal, ())
{
    floor_world world;
    for (std::size_t i = 0; i < steps; ++i) {
        take_step(world);
    }
    for (std::size_t i = 0; i < floor_world::node_count; ++i) {
        world.pause(i, false);
    }
    world.set_store(true);
    world.commit(0);
    for (std::size_t i = 0; i < floor_world::node_count; ++i) {
        world.spread(0, i);
    }
    world.settle_down();
    for (std::size_t i = 0; i < floor_world::node_count; ++i) {
        RC_ASSERT(world.used(i) == world.head());
    }
}

} // namespace savorywheel::test
