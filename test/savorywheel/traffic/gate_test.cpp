#include <savorywheel/traffic/crash_reports.hpp>
#include <savorywheel/traffic/default_server_header_codec.hpp>
#include <savorywheel/traffic/gate.hpp>

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <support/blocking_http_client.hpp>
#include <support/manual_clock.hpp>
#include <support/recording_crash_reporter.hpp>
#include <support/recording_event_log.hpp>
#include <support/recording_sink.hpp>
#include <support/wait_until.hpp>

#include <atomic>
#include <stdexcept>

namespace savorywheel::test {

namespace {

using std::chrono::milliseconds;

backend_server make_backend(std::uint32_t slots)
{
    return {service_name{"bookdesk"}, version_name{"v1"}, {}, server_state::serving, slots};
}

call_request make_call(std::string body, milliseconds remaining, peer_time expires)
{
    call_request call;
    call.service = service_name{"bookdesk"};
    call.version = version_name{"v1"};
    call.remaining = remaining;
    call.expires = expires;
    call.request = {"POST", "/book", {}, std::move(body)};
    return call;
}

struct throwing_http_client final : http_client {
    outcome<http_response> send(const network_endpoint& /*server*/, const http_request& /*request*/,
                                milliseconds /*timeout*/) override
    {
        throw std::runtime_error{"unexpected"};
    }
};

/** Client of a backend server that crashes with each request, as long as it is told to. */
struct crashing_http_client final : http_client {
    outcome<http_response> send(const network_endpoint& /*server*/, const http_request& /*request*/,
                                milliseconds /*timeout*/) override
    {
        if (!crashes) {
            return http_response{200, {}, {}};
        }
        return failure{failure_code::unknown_outcome, "the connection was reset"};
    }

    bool accepts_connections(const network_endpoint& /*server*/) override { return !crashes; }

    std::atomic<bool> crashes{true};
};

/** Gate with a client that blocks until the test releases it; releases all calls at the end. */
struct gate_fixture {
    explicit gate_fixture(std::uint32_t slots) { subject.set_backend(make_backend(slots)); }

    ~gate_fixture()
    {
        client.release(1'000'000);
        subject.stop();
    }
    gate_fixture(const gate_fixture&) = delete;
    gate_fixture& operator=(const gate_fixture&) = delete;
    gate_fixture(gate_fixture&&) = delete;
    gate_fixture& operator=(gate_fixture&&) = delete;

    void submit(std::uint64_t id, const call_request& call)
    {
        subject.on_frame(sink, frame_kind::call_request, id, encode(call));
    }

    void submit(std::uint64_t id, milliseconds remaining, peer_time expires)
    {
        submit(id, make_call(std::to_string(id), remaining, expires));
    }

    /** Reports a crash of a node's backend server during a call. */
    void report_crash(const char* node, std::uint64_t crash, const call_request& call)
    {
        const crash_reports reports{
            {{call.service, node_id{node}, crash, digest_of(call), {}, false}}};
        subject.on_frame(sink, frame_kind::crash_reports, crash, encode(reports));
    }

    void submit(std::uint64_t id, milliseconds remaining)
    {
        submit(id, remaining, to_peer_time(time.now() + remaining));
    }

    /** Occupies all slots with calls, 5 s after the start; returns false if not all of them run. */
    [[nodiscard]] bool fill(std::uint32_t slots, milliseconds remaining)
    {
        time.advance(milliseconds{5000});
        for (std::uint64_t id = 1; id <= slots; ++id) {
            submit(id, remaining);
        }
        return wait_until([this, slots] { return client.started().size() == slots; });
    }

    manual_clock time;
    blocking_http_client client;
    std::shared_ptr<recording_sink> sink = std::make_shared<recording_sink>();
    recording_event_log log;
    recording_crash_reporter crashes;
    default_server_header_codec header_codec;
    gate subject{{client, time, crashes, log, node_id{"gate"}, header_codec}};
};

} // namespace

TEST(proof_at_most_once, call_does_not_start_after_its_expiry)
{
    EXPECT_TRUE(rc::check([] {
        gate_fixture mesh{2};
        const auto lifetime = milliseconds{*rc::gen::inRange(1, 1000)};
        const auto delay = milliseconds{*rc::gen::inRange(0, 2000)};
        const auto expires = to_peer_time(mesh.time.now() + lifetime);
        mesh.time.advance(delay);
        mesh.client.release(1);
        mesh.submit(1, lifetime, expires);
        RC_ASSERT(wait_until([&mesh] { return mesh.sink->responses() == 1; }));
        const bool late = delay >= lifetime;
        RC_ASSERT(mesh.client.count("1") == (late ? 0U : 1U));
        RC_ASSERT((mesh.sink->response(1)->result == call_result::not_run) == late);
    }));
}

TEST(gate, refuses_calls_while_the_backend_server_is_silent)
{
    constexpr std::uint32_t slots = 3;
    constexpr milliseconds allowed{10'000};
    gate_fixture mesh{slots};
    ASSERT_TRUE(mesh.fill(slots, allowed));
    mesh.time.advance(milliseconds{2000});
    mesh.submit(4, allowed);
    ASSERT_TRUE(wait_until([&mesh] { return mesh.sink->response(4).has_value(); }));
    EXPECT_EQ(mesh.sink->response(4)->refusal, call_refusal::silent);
    EXPECT_EQ(mesh.client.count("4"), 0U);
    mesh.client.release(1'000'000);
    ASSERT_TRUE(wait_until([&mesh] { return mesh.sink->responses() == slots + 1; }));
    mesh.submit(5, allowed);
    ASSERT_TRUE(wait_until([&mesh] { return mesh.sink->response(5).has_value(); }));
    EXPECT_EQ(mesh.sink->response(5)->result, call_result::answered);
}

// Guards against proxies that learn the time in the queue as the work of a call.
TEST(gate, states_the_service_time_of_a_call_without_its_time_in_the_queue)
{
    gate_fixture mesh{1};
    ASSERT_TRUE(mesh.fill(1, milliseconds{10'000}));
    mesh.submit(2, milliseconds{10'000});
    mesh.time.advance(milliseconds{120});
    mesh.client.release(1);
    ASSERT_TRUE(wait_until([&mesh] { return mesh.client.count("2") == 1; }));
    mesh.time.advance(milliseconds{30});
    mesh.client.release(1);
    ASSERT_TRUE(wait_until([&mesh] { return mesh.sink->responses() == 2; }));
    EXPECT_EQ(mesh.sink->response(1)->run_time, milliseconds{120});
    EXPECT_EQ(mesh.sink->response(2)->run_time, milliseconds{30});
}

TEST(gate, refuses_as_absent_after_the_backend_server_is_removed)
{
    constexpr std::uint32_t slots = 3;
    constexpr milliseconds allowed{10'000};
    gate_fixture mesh{slots};
    ASSERT_TRUE(mesh.fill(slots, allowed));
    mesh.subject.set_backend(std::nullopt);
    mesh.time.advance(milliseconds{2000});
    mesh.submit(4, allowed);
    ASSERT_TRUE(wait_until([&mesh] { return mesh.sink->response(4).has_value(); }));
    EXPECT_EQ(mesh.sink->response(4)->refusal, call_refusal::absent);
}

TEST(proof_truthful_not_run, calls_reported_not_run_never_reach_the_backend_server)
{
    EXPECT_TRUE(rc::check([] {
        const auto slots = *rc::gen::inRange<std::uint32_t>(1, 4);
        const auto calls = *rc::gen::inRange<std::uint64_t>(1, 30);
        gate_fixture mesh{slots};
        std::vector<std::uint64_t> cancelled;
        for (std::uint64_t id = 1; id <= calls; ++id) {
            mesh.submit(id, milliseconds{1000});
            if (*rc::gen::inRange(0, 4) == 0) {
                mesh.client.release(1);
            }
            if (*rc::gen::inRange(0, 4) == 0) {
                cancelled.push_back(id);
                mesh.subject.on_frame(mesh.sink, frame_kind::call_cancel, id, {});
            }
            mesh.time.advance(milliseconds{*rc::gen::inRange(0, 200)});
        }
        mesh.client.release(calls);
        mesh.subject.stop();
        RC_ASSERT(mesh.client.max_concurrent_requests() <= slots);
        for (std::uint64_t id = 1; id <= calls; ++id) {
            const auto runs = mesh.client.count(std::to_string(id));
            RC_ASSERT(runs <= 1U);
            const auto response = mesh.sink->response(id);
            RC_ASSERT((!response || response->result != call_result::not_run || runs == 0U));
            RC_ASSERT((!response || response->result != call_result::answered ||
                       response->response.body == std::to_string(id)));
            RC_ASSERT((response || std::ranges::count(cancelled, id) == 1));
        }
    }));
}

TEST(proof_drain, queued_calls_are_refused_while_the_backend_server_drains)
{
    gate_fixture mesh{1};
    mesh.submit(1, milliseconds{60'000});
    ASSERT_TRUE(wait_until([&mesh] { return mesh.client.count("1") == 1; }));
    mesh.submit(2, milliseconds{60'000});
    auto leaving = make_backend(1);
    leaving.state = server_state::draining;
    mesh.subject.set_backend(leaving);
    mesh.submit(3, milliseconds{60'000});
    mesh.client.release(3);
    ASSERT_TRUE(wait_until([&mesh] { return mesh.sink->responses() == 3; }));
    EXPECT_EQ(mesh.sink->response(1)->result, call_result::answered);
    EXPECT_EQ(mesh.sink->response(2)->refusal, call_refusal::leaving);
    EXPECT_EQ(mesh.sink->response(3)->refusal, call_refusal::leaving);
    EXPECT_EQ(mesh.client.started().size(), 1U);
}

TEST(gate, closes_a_connection_that_sends_random_bytes)
{
    EXPECT_TRUE(rc::check([](const std::vector<std::uint8_t>& bytes) {
        gate_fixture mesh{1};
        const auto kind = *rc::gen::element(frame_kind::call_request, frame_kind::crash_reports);
        mesh.subject.on_frame(mesh.sink, kind, 1, std::as_bytes(std::span{bytes}));
        RC_ASSERT(mesh.sink->closed());
        RC_ASSERT(mesh.log.count(event_id::call_frame_malformed) == 1U);
        RC_ASSERT(mesh.subject.waiting() == 0U);
    }));
}

TEST(proof_graceful_stop, gate_refuses_calls_that_it_could_not_finish)
{
    gate_fixture gate{1};
    gate.subject.reject_deadlines_after(gate.time.now() + milliseconds{1000});
    gate.submit(1, milliseconds{1001});
    ASSERT_TRUE(wait_until([&gate] { return gate.sink->response(1).has_value(); }));
    EXPECT_EQ(gate.sink->response(1)->refusal, call_refusal::leaving);
    gate.submit(2, milliseconds{1000});
    EXPECT_TRUE(wait_until([&gate] { return gate.client.started().size() == 1; }));
}

TEST(gate, unexpected_error_ends_one_call_only)
{
    manual_clock time;
    throwing_http_client client;
    recording_event_log log;
    recording_crash_reporter crashes;
    default_server_header_codec header_codec;
    const auto sink = std::make_shared<recording_sink>();
    gate subject{{client, time, crashes, log, node_id{"gate"}, header_codec}};
    subject.set_backend(make_backend(1));
    for (std::uint64_t id = 1; id <= 2; ++id) {
        subject.on_frame(sink, frame_kind::call_request, id,
                         encode(make_call("x", milliseconds{1000},
                                          to_peer_time(time.now() + milliseconds{1000}))));
        ASSERT_TRUE(wait_until([&sink, id] { return sink->response(id).has_value(); }));
        EXPECT_EQ(sink->response(id)->result, call_result::unknown);
    }
    subject.stop();
}

// Guards against review case 7: after a request of one caller had crashed two backend servers, the
// same path and body of another caller or another tenant was refused.
TEST(gate, request_that_crashed_backend_servers_is_blocked_only_for_its_caller_and_tenant)
{
    constexpr milliseconds allowed{10'000};
    gate_fixture mesh{3};
    const auto expires = to_peer_time(mesh.time.now() + allowed);
    auto call = make_call("tariff", allowed, expires);
    call.caller = service_name{"front"};
    call.tenant = tenant_name{"north"};
    for (const char* node : {"a", "b"}) {
        mesh.report_crash(node, 1, call);
    }
    auto other_caller = call;
    other_caller.caller = service_name{"office"};
    auto other_tenant = call;
    other_tenant.tenant = tenant_name{"south"};
    mesh.client.release(1'000'000);
    mesh.submit(1, call);
    mesh.submit(2, other_caller);
    mesh.submit(3, other_tenant);
    ASSERT_TRUE(wait_until([&mesh] { return mesh.sink->responses() == 3; }));
    EXPECT_EQ(mesh.sink->response(1)->refusal, call_refusal::crashing);
    EXPECT_EQ(mesh.sink->response(2)->result, call_result::answered);
    EXPECT_EQ(mesh.sink->response(3)->result, call_result::answered);
}

// Guards against review case 8: the response to another caller's request unblocked a request that
// crashes backend servers.
TEST(gate, response_to_another_caller_does_not_unblock_a_request)
{
    constexpr milliseconds allowed{10'000};
    gate_fixture mesh{3};
    auto call = make_call("tariff", allowed, to_peer_time(mesh.time.now() + allowed));
    call.caller = service_name{"front"};
    auto other_caller = call;
    other_caller.caller = service_name{"office"};
    mesh.client.release(1'000'000);
    mesh.report_crash("a", 1, call);
    mesh.submit(1, other_caller);
    ASSERT_TRUE(wait_until([&mesh] { return mesh.sink->response(1).has_value(); }));
    mesh.report_crash("b", 1, call);
    mesh.submit(2, call);
    ASSERT_TRUE(wait_until([&mesh] { return mesh.sink->response(2).has_value(); }));
    EXPECT_EQ(mesh.sink->response(2)->refusal, call_refusal::crashing);
}

TEST(gate, crash_report_tells_whether_the_request_was_answered_before)
{
    manual_clock time;
    crashing_http_client client;
    recording_event_log log;
    recording_crash_reporter crashes;
    default_server_header_codec header_codec;
    const auto sink = std::make_shared<recording_sink>();
    gate subject{{client, time, crashes, log, node_id{"gate"}, header_codec}};
    subject.set_backend(make_backend(1));
    for (std::uint64_t id = 1; id <= 2; ++id) {
        client.crashes = id == 2;
        time.advance(milliseconds{10});
        subject.on_frame(sink, frame_kind::call_request, id,
                         encode(make_call("x", milliseconds{1000},
                                          to_peer_time(time.now() + milliseconds{1000}))));
        ASSERT_TRUE(wait_until([&sink, id] { return sink->response(id).has_value(); }));
    }
    subject.stop();
    ASSERT_EQ(crashes.reports().size(), 1U);
    EXPECT_TRUE(crashes.reports().front().answered_before);
}

// Guards against a crash that other gates take for an earlier one, since the node that reports it
// has restarted.
TEST(gate, crashes_before_and_after_a_restart_are_told_apart)
{
    manual_clock time;
    crashing_http_client client;
    recording_event_log log;
    recording_crash_reporter crashes;
    default_server_header_codec header_codec;
    for (std::uint64_t start = 1; start <= 2; ++start) {
        time.advance(milliseconds{1000});
        const auto sink = std::make_shared<recording_sink>();
        gate subject{{client, time, crashes, log, node_id{"gate"}, header_codec}};
        subject.set_backend(make_backend(1));
        subject.on_frame(sink, frame_kind::call_request, 1,
                         encode(make_call("x", milliseconds{1000},
                                          to_peer_time(time.now() + milliseconds{1000}))));
        ASSERT_TRUE(wait_until([&sink] { return sink->response(1).has_value(); }));
        subject.stop();
    }
    const auto reports = crashes.reports();
    ASSERT_EQ(reports.size(), 2U);
    EXPECT_EQ(reports.front().digest, reports.back().digest);
    EXPECT_NE(reports.front().crash, reports.back().crash);
}

} // namespace savorywheel::test
