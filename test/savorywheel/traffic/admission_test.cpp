#include <savorywheel/traffic/admission.hpp>

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace savorywheel::test {

TEST(admission,
     takes_no_call_that_the_estimate_says_cannot_finish_and_refuses_none_with_a_free_slot)
{
    EXPECT_TRUE(rc::check([] {
        admission view;
        view.slots = *rc::gen::inRange<std::uint32_t>(1, 13);
        view.running = *rc::gen::inRange<std::uint32_t>(0, view.slots + 1);
        view.waiting = *rc::gen::inRange<std::size_t>(0, 60);
        view.service_time = std::chrono::milliseconds{*rc::gen::inRange(0, 500)};
        view.remaining = std::chrono::milliseconds{*rc::gen::inRange(1, 3000)};
        const auto decision = view.decide();
        if (view.running + view.waiting < view.slots) {
            RC_ASSERT(decision == call_refusal::none);
        }
        if (decision == call_refusal::none && view.expected_wait() > duration::zero()) {
            RC_ASSERT(view.expected_wait() + view.service_time <= view.remaining);
        }
    }));
}

} // namespace savorywheel::test
