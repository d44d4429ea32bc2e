#include <savorywheel/traffic/default_server_header_codec.hpp>
#include <savorywheel/traffic/gate.hpp>

#include <gtest/gtest.h>
#include <support/blocking_http_client.hpp>
#include <support/manual_clock.hpp>
#include <support/recording_crash_reporter.hpp>
#include <support/recording_event_log.hpp>
#include <support/recording_sink.hpp>
#include <support/wait_until.hpp>

namespace savorywheel::test {

namespace {

using std::chrono::milliseconds;

/** Gate of a backend server with one slot, which is busy with a call of an unknown length. */
class gate_queue_test : public testing::Test {
protected:
    gate_queue_test()
    {
        subject_.set_backend(backend_server{
            service_name{"service"}, version_name{"v1"}, {}, server_state::serving, 1});
        submit(0, milliseconds{60'000}, 0);
    }

    void TearDown() override { client_.release(1'000'000); }

    void submit(std::uint64_t id, milliseconds remaining, std::uint32_t priority)
    {
        call_request call;
        call.service = service_name{"service"};
        call.version = version_name{"v1"};
        call.remaining = remaining;
        call.expires = to_peer_time(time_.now() + remaining);
        call.priority = priority;
        call.request = {"POST", "/", {}, std::to_string(id)};
        subject_.on_frame(sink_, frame_kind::call_request, id, encode(call));
    }

    [[nodiscard]] bool responds(std::uint64_t id) const
    {
        return wait_until([this, id] { return sink_->response(id).has_value(); });
    }

    manual_clock time_;
    blocking_http_client client_;
    std::shared_ptr<recording_sink> sink_ = std::make_shared<recording_sink>();
    recording_event_log log_;
    recording_crash_reporter crashes_;
    default_server_header_codec header_codec_;
    gate subject_{{client_, time_, crashes_, log_, node_id{"gate"}, header_codec_}};
};

} // namespace

// Guards against a call that is held until its deadline has passed, so that its caller gets 504
// instead of a refusal, while no slot becomes free.
TEST_F(gate_queue_test, hopeless_call_is_refused_while_all_slots_are_busy)
{
    ASSERT_TRUE(wait_until([this] { return client_.started().size() == 1; }));
    submit(1, milliseconds{500}, 0);
    ASSERT_TRUE(wait_until([this] { return subject_.waiting() == 1; }));
    time_.advance(milliseconds{501});
    ASSERT_TRUE(responds(1));
    EXPECT_EQ(sink_->response(1)->result, call_result::not_run);
    EXPECT_EQ(sink_->response(1)->refusal, call_refusal::overload);
    EXPECT_TRUE(sink_->response(1)->retry_after.has_value());
    EXPECT_EQ(client_.count("1"), 0U);
    EXPECT_EQ(log_.count(event_id::queued_call_hopeless), 1U);
}

// Guards against a call of higher rank that finds the queue full of calls of lower rank.
TEST_F(gate_queue_test, full_queue_refuses_its_last_call_for_one_of_higher_rank)
{
    ASSERT_TRUE(wait_until([this] { return client_.started().size() == 1; }));
    for (std::uint64_t id = 1; id <= 4; ++id) {
        submit(id, milliseconds{60'000}, 1);
    }
    submit(5, milliseconds{60'000}, 1);
    ASSERT_TRUE(responds(5));
    submit(6, milliseconds{60'000}, 0);
    ASSERT_TRUE(responds(4));
    EXPECT_EQ(sink_->response(4)->refusal, call_refusal::overload);
    EXPECT_TRUE(sink_->response(4)->retry_after.has_value());
    EXPECT_EQ(subject_.counts().displaced, 1U);
    client_.release(2);
    ASSERT_TRUE(responds(6));
    EXPECT_EQ(sink_->response(6)->result, call_result::answered);
    EXPECT_EQ(client_.count("4"), 0U);
}

} // namespace savorywheel::test
