#include <savorywheel/traffic/admission_check.hpp>

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace savorywheel::test {

TEST(admission_check, refuses_calls_expected_to_miss_the_deadline_and_none_with_a_free_slot)
{
    EXPECT_TRUE(rc::check([] {
        admission_check inputs;
        inputs.slots = *rc::gen::inRange<std::uint32_t>(1, 13);
        inputs.running = *rc::gen::inRange<std::uint32_t>(0, inputs.slots + 1);
        inputs.waiting = *rc::gen::inRange<std::size_t>(0, 60);
        inputs.service_time = std::chrono::milliseconds{*rc::gen::inRange(0, 500)};
        inputs.remaining = std::chrono::milliseconds{*rc::gen::inRange(1, 3000)};
        const auto decision = inputs.decide();
        if (inputs.running + inputs.waiting < inputs.slots) {
            RC_ASSERT(decision == call_refusal::none);
        }
        if (decision == call_refusal::none && inputs.expected_wait() > duration::zero()) {
            RC_ASSERT(inputs.expected_wait() + inputs.service_time <= inputs.remaining);
        }
    }));
}

} // namespace savorywheel::test
