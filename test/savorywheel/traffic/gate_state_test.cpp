#include <savorywheel/traffic/gate_state.hpp>

#include <gtest/gtest.h>

namespace savorywheel::test {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds mean{100};

/** Gate of a backend server with two slots, whose calls of the route "/known" take 100 ms. */
class gate_state_test : public testing::Test {
protected:
    gate_state_test()
    {
        subject_.set_backend(backend_server{
            service_name{"service"}, version_name{"v1"}, {}, server_state::serving, slots});
        for (int i = 0; i < 20; ++i) {
            run(make_call(milliseconds{1000}), mean);
        }
    }

    [[nodiscard]] gate_state::call_pointer make_call(milliseconds remaining) const
    {
        auto item = std::make_shared<gate_call>();
        item->call.service = service_name{"service"};
        item->call.version = version_name{"v1"};
        item->call.route = "/known";
        item->call.priority = 1;
        item->arrived = now_;
        item->deadline = now_ + remaining;
        return item;
    }

    /** Adds a call if it is admitted. */
    call_refusal add(const gate_state::call_pointer& item)
    {
        const auto reason = subject_.decide(*item, false, now_);
        if (reason == call_refusal::none) {
            subject_.push(item);
        }
        return reason;
    }

    void run(const gate_state::call_pointer& item, milliseconds time)
    {
        ASSERT_EQ(add(item), call_refusal::none);
        ASSERT_EQ(subject_.pop(), item);
        subject_.start(item, now_);
        now_ += time;
        auto response = call_response::unknown("");
        response.result = call_result::answered;
        static_cast<void>(subject_.end(item, response, now_));
    }

    /** Occupies both slots. */
    void fill()
    {
        for (std::uint32_t i = 0; i < slots; ++i) {
            running_.push_back(make_call(milliseconds{1000}));
            ASSERT_EQ(add(running_.back()), call_refusal::none);
            subject_.start(subject_.pop(), now_);
        }
    }

    static constexpr std::uint32_t slots = 2;
    monotonic_time now_{std::chrono::seconds{10}};
    gate_state subject_;
    std::vector<gate_state::call_pointer> running_;
};

} // namespace

// Guards against reports that leave out the running or the queued calls.
TEST_F(gate_state_test, load_contains_the_work_of_running_and_queued_calls)
{
    EXPECT_EQ(subject_.load(now_).work, milliseconds{0});
    fill();
    ASSERT_EQ(add(make_call(milliseconds{1000})), call_refusal::none);
    EXPECT_EQ(subject_.load(now_).work, 3 * mean);
    now_ += milliseconds{40};
    EXPECT_EQ(subject_.load(now_).work, 3 * mean - milliseconds{80});
}

// Guards against calls that wait for slots that do not become free until their deadlines.
TEST_F(gate_state_test, queued_call_is_due_for_refusal_before_its_deadline)
{
    fill();
    const auto item = make_call(milliseconds{600});
    ASSERT_EQ(add(item), call_refusal::none);
    const auto check = subject_.next_check();
    ASSERT_TRUE(check);
    EXPECT_LE(*check, item->deadline - mean / 2);
    EXPECT_TRUE(subject_.remove_expiring(now_).empty());
    now_ = *check;
    EXPECT_EQ(subject_.remove_expiring(now_).size(), 1U);
    EXPECT_EQ(subject_.waiting(), 0U);
}

// Guards against a full queue that refuses a call of higher rank for one of lower rank.
TEST_F(gate_state_test, full_queue_drops_its_last_call_for_one_of_higher_rank)
{
    fill();
    std::vector<gate_state::call_pointer> queued;
    while (subject_.waiting() < std::size_t{4} * slots) {
        queued.push_back(make_call(milliseconds{5000}));
        ASSERT_EQ(add(queued.back()), call_refusal::none);
    }
    EXPECT_EQ(add(make_call(milliseconds{5000})), call_refusal::overload);
    auto urgent = make_call(milliseconds{5000});
    urgent->call.priority = 0;
    ASSERT_EQ(add(urgent), call_refusal::none);
    const auto displaced = subject_.remove_displaced();
    ASSERT_EQ(displaced.size(), 1U);
    EXPECT_EQ(displaced.front(), queued.back());
    EXPECT_GE(subject_.retry_after(*displaced.front(), now_), milliseconds{50});
    EXPECT_EQ(subject_.pop(), urgent);
}

// Guards against a late call that takes the place of one that can still be in time.
TEST_F(gate_state_test, late_call_starts_after_those_in_time_or_is_refused)
{
    fill();
    auto late = make_call(milliseconds{3000});
    late->call.target_remaining = milliseconds{-1};
    ASSERT_EQ(add(late), call_refusal::none);
    auto in_time = make_call(milliseconds{3000});
    in_time->call.target_remaining = milliseconds{2000};
    ASSERT_EQ(add(in_time), call_refusal::none);
    auto too_late = make_call(milliseconds{1000});
    too_late->call.target_remaining = milliseconds{-1};
    EXPECT_EQ(add(too_late), call_refusal::overload);
    EXPECT_EQ(subject_.pop(), in_time);
    EXPECT_EQ(subject_.pop(), late);
}

// Guards against a call that is overtaken until its deadline: it started 172 ms before it in a
// play.
TEST_F(gate_state_test, overtaken_call_is_refused_soon_after_its_target_latency)
{
    fill();
    const auto item = make_call(milliseconds{3000});
    item->call.target_remaining = milliseconds{400};
    ASSERT_EQ(add(item), call_refusal::none);
    const auto check = subject_.next_check();
    ASSERT_TRUE(check);
    EXPECT_GE(*check, now_ + milliseconds{400});
    EXPECT_LE(*check, now_ + milliseconds{400 + 3000 / 8});
}

// Guards against more requests at the backend server than slots: it need not notice that a request
// was given up, and some respond to nothing when they have too many.
TEST_F(gate_state_test, call_that_was_given_up_keeps_its_slot_for_its_expected_rest)
{
    fill();
    ASSERT_EQ(add(make_call(milliseconds{1000})), call_refusal::none);
    now_ += milliseconds{20};
    running_.front()->cancel_signal.cancel();
    static_cast<void>(subject_.end(running_.front(), call_response::unknown(""), now_));
    EXPECT_FALSE(subject_.has_work());
    EXPECT_TRUE(subject_.held_by_abandoned_calls());
    const auto check = subject_.next_check();
    ASSERT_TRUE(check);
    EXPECT_EQ(*check, now_ + milliseconds{80});
    now_ = *check;
    EXPECT_TRUE(subject_.remove_expiring(now_).empty());
    EXPECT_TRUE(subject_.has_work());
}

} // namespace savorywheel::test
