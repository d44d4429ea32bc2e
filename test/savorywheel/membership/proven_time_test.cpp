#include <savorywheel/core/seeded_random.hpp>
#include <savorywheel/encoding/codec.hpp>
#include <savorywheel/membership/swim_agent.hpp>
#include <savorywheel/transport/frame_header.hpp>

#include <gtest/gtest.h>
#include <support/manual_clock.hpp>

#include <memory>
#include <utility>
#include <vector>

namespace savorywheel::test {

namespace {

using namespace std::chrono_literals;

struct proof_listener final : membership_listener {
    void on_member_changed(const member_update& /*update*/) override {}
    void on_head_received(const network_endpoint& /*peer*/,
                          const configuration_head& /*head*/) override
    {
    }
    void on_proven(duration as_of) override { proven = as_of; }

    std::optional<duration> proven;
};

configuration_head head_of(std::uint64_t version)
{
    return {config_version{version}, config_version{version}, version};
}

/** One node with a clock of its own, which records what it sends. */
struct probing_node {
    probing_node(const std::string& name, std::uint16_t port, std::uint64_t incarnation)
    {
        member_record record;
        record.id = node_id{name};
        record.region = region_name{"r"};
        record.peer = {"10.0.0.1", port};
        record.incarnation = incarnation;
        agent = std::make_unique<swim_agent>(
            record, std::vector<network_endpoint>{}, membership_settings{},
            swim_agent::environment{time, timers, random, listener,
                                    [this](const auto& /*peer*/, const auto& message) {
                                        sent.push_back(
                                            *decode<membership_message>(encode(message)));
                                    },
                                    [](const auto& /*peer*/, const auto& /*request*/) {}});
        agent->set_head(head_of(4));
    }

    /** Makes the node probe its only member. */
    membership_message probe()
    {
        sent.clear();
        time.advance(500ms);
        timers.run_due();
        return sent.front();
    }

    /** @return The response to a ping. */
    membership_message respond(const membership_message& ping)
    {
        sent.clear();
        agent->receive(ping);
        return sent.back();
    }

    manual_clock time;
    timer_service timers{time};
    seeded_random random{1};
    proof_listener listener;
    std::vector<membership_message> sent;
    std::unique_ptr<swim_agent> agent;
};

/** A node that probes another. */
class proven_time_test : public testing::Test {
protected:
    proven_time_test()
    {
        membership_sync_message members;
        members.members.push_back({responder_.agent->self(), member_status::alive});
        static_cast<void>(prober_.agent->finish_sync(members));
        prober_.agent->start();
        responder_.time.advance(1h);
    }

    probing_node prober_{"a", 1, 1000};
    probing_node responder_{"b", 2, 2000};
};

} // namespace

TEST_F(proven_time_test, ack_proves_the_time_of_the_ping_less_the_age)
{
    responder_.agent->prove(responder_.time.since_boot());
    responder_.time.advance(700us);
    const auto ping = prober_.probe();
    const auto pinged_at = prober_.time.since_boot();
    const auto ack = responder_.respond(ping);
    EXPECT_EQ(ack.proven_age_ms, 1U);
    prober_.agent->receive(ack);
    EXPECT_EQ(prober_.listener.proven, pinged_at - 1ms);
}

// The time that messages spend in the network must never make the age look smaller.
TEST_F(proven_time_test, delayed_ack_proves_no_later_time)
{
    responder_.agent->prove(responder_.time.since_boot());
    const auto ping = prober_.probe();
    const auto pinged_at = prober_.time.since_boot();
    const auto ack = responder_.respond(ping);
    prober_.time.advance(150ms);
    prober_.time.suspend(10min);
    prober_.agent->receive(ack);
    EXPECT_EQ(prober_.listener.proven, pinged_at);
}

TEST_F(proven_time_test, suspension_of_the_responder_counts_as_age)
{
    responder_.agent->prove(responder_.time.since_boot());
    responder_.time.suspend(3s);
    const auto ping = prober_.probe();
    const auto pinged_at = prober_.time.since_boot();
    prober_.agent->receive(responder_.respond(ping));
    EXPECT_EQ(prober_.listener.proven, pinged_at - 3s);
}

TEST_F(proven_time_test, ack_of_a_node_with_a_newer_configuration_proves_nothing)
{
    responder_.agent->prove(responder_.time.since_boot());
    responder_.agent->set_head(head_of(5));
    prober_.agent->receive(responder_.respond(prober_.probe()));
    EXPECT_EQ(prober_.listener.proven, std::nullopt);
    prober_.agent->set_head(head_of(5));
    prober_.agent->receive(responder_.respond(prober_.probe()));
    EXPECT_EQ(prober_.listener.proven, prober_.time.since_boot());
}

TEST_F(proven_time_test, requested_proof_counts_like_a_probe)
{
    responder_.agent->prove(responder_.time.since_boot());
    prober_.sent.clear();
    prober_.agent->request_proof(responder_.agent->self().peer);
    const auto sent_at = prober_.time.since_boot();
    const auto ack = responder_.respond(prober_.sent.front());
    prober_.time.suspend(5s);
    for (int i = 0; i < 20; ++i) {
        prober_.agent->receive(ack);
    }
    EXPECT_EQ(prober_.listener.proven, sent_at);
}

TEST_F(proven_time_test, node_without_a_proven_time_proves_nothing)
{
    prober_.agent->receive(responder_.respond(prober_.probe()));
    EXPECT_EQ(prober_.listener.proven, std::nullopt);
}

// A restarted node begins its sequence numbers anew; an ack to its predecessor matched a new ping.
TEST_F(proven_time_test, ack_to_an_earlier_start_of_the_node_proves_nothing)
{
    responder_.agent->prove(responder_.time.since_boot());
    const auto old_ack = responder_.respond(prober_.probe());
    probing_node restarted{"a", 1, 1001};
    membership_sync_message members;
    members.members.push_back({responder_.agent->self(), member_status::alive});
    static_cast<void>(restarted.agent->finish_sync(members));
    restarted.agent->start();
    restarted.time.advance(1min);
    for (int i = 0; i < 10; ++i) {
        EXPECT_NE(restarted.probe().sequence, old_ack.sequence);
        restarted.agent->receive(old_ack);
    }
    EXPECT_EQ(restarted.listener.proven, std::nullopt);
}

} // namespace savorywheel::test
